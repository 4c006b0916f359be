#pragma once

#include "oriolehold/core/agent_core.h"

#include <memory>

// CoAP client of the agent towards its upstream, on libcoap.

namespace oriolehold::agent {

// Receiver of what the upstream sends. Called from process() only.
class upstream_events
{
public:
    virtual ~upstream_events() = default;
    virtual void jobCompleted(core::job_id job, const core::upstream_answer &answer) = 0;
    virtual void feedUpdated(core::feed_id feed, core::byte_view payload) = 0;
    virtual void feedEnded(core::feed_id feed) = 0;
};

// Not thread-safe. All jobs are non-confirmable messages, which are sent once. A retransmission to
// a paused upstream would run a request twice, and libcoap 4.3.1 cannot assemble a block-wise
// answer that follows the empty acknowledgement of a confirmable request.
class upstream_client
{
public:
    // Throws std::runtime_error when no session can be made. events must outlive the client.
    upstream_client(const core::endpoint &upstream, upstream_events &events);
    ~upstream_client();

    // Descriptor that is readable when process() has work.
    int descriptor() const;
    // Handles input and retransmissions without waiting. Must be called at least every 100 ms.
    void process();

    // remaining is the time until the request's deadline; it travels with the request.
    void startJob(const core::upstream_request &request, core::duration remaining);
    void cancelJob(core::job_id job);
    void startFeed(core::feed_id feed, const core::feed_state &state);
    void stopFeed(core::feed_id feed);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace oriolehold::agent
