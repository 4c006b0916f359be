#pragma once

#include "oriolehold/core/agent_core.h"

#include <memory>

// CoAP client of the agent for its upstream, based on libcoap.

namespace oriolehold::agent {

// Callbacks for answers and feed updates of the upstream. Called from process() only.
class upstream_events
{
public:
    virtual ~upstream_events() = default;
    virtual void jobCompleted(core::job_id job, const core::upstream_answer &answer) = 0;
    virtual void feedUpdated(core::feed_id feed, core::byte_view payload) = 0;
    virtual void feedEnded(core::feed_id feed) = 0;
};

// Not thread-safe. Jobs are non-confirmable messages and sent exactly once: a retransmission to a
// paused upstream would run a request twice, and libcoap 4.3.1 cannot reassemble a block-wise
// answer that follows the empty acknowledgement of a confirmable request.
class upstream_client
{
public:
    // Throws std::runtime_error when the session cannot be created. events must outlive the client.
    upstream_client(const core::endpoint &upstream, upstream_events &events);
    ~upstream_client();

    // Descriptor that is readable when process() has work.
    int descriptor() const;
    // Handles input and retransmissions without blocking. Must be called at least every 100 ms.
    void process();

    // remaining is the time until the request's deadline, which is sent with the request.
    void startJob(const core::upstream_request &request, core::duration remaining);
    void cancelJob(core::job_id job);
    void startFeed(core::feed_id feed, const core::feed_state &state);
    void stopFeed(core::feed_id feed);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace oriolehold::agent
