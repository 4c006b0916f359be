#pragma once

#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/peer_message.h"

#include <deque>
#include <functional>

// Searches the owner of a flow on behalf of an entry instance. An agent has a faster link than most
// entry instances, and there are more agents: the entry instance sends a packet and gets an answer
// once, whatever the number of upstreams.

namespace oriolehold::flow {

class probe_relay
{
public:
    // An agent answers within a few milliseconds. Those that take longer are reported as silent.
    static constexpr std::chrono::milliseconds answerTimeout { 20 };
    // Searches at a time; the entry instance probes by itself when further ones are not answered.
    static constexpr std::size_t maxSearches = 1000;

    // Sends a packet to the agent on a machine.
    using probe_sender = std::function<void(std::uint32_t machine, base::byte_view packet)>;
    // Sends a result to the entry instance on a machine.
    using result_sender = std::function<void(std::uint32_t entry, const probe_result &result)>;

    probe_relay(probe_sender sendProbe, result_sender sendResult)
        : m_sendProbe(std::move(sendProbe)), m_sendResult(std::move(sendResult))
    { }

    // Probes all machines of the request. The flow is the one of the packet in the request.
    void begin(std::uint32_t entry, const flow_key &flow, const probe_request &request,
               base::time_point now);
    // The upstream on the machine does not hold the flow.
    void denied(const flow_key &flow, std::uint32_t machine);
    // The upstream on the machine holds the flow.
    void claimed(const flow_key &flow, std::uint32_t machine);
    // Ends the searches whose time has passed.
    void expire(base::time_point now);
    // Time of the next expire() that is due; the maximum time when no search is in progress.
    base::time_point next() const;

private:
    struct relayed_search
    {
        std::uint32_t entry = 0;
        probe_result result;
        std::size_t waiting = 0; // machines that have not answered
        base::time_point endsAt {};
        bool ended = false;
    };

    void end(relayed_search &search);
    void eraseEnded();

    const probe_sender m_sendProbe;
    const result_sender m_sendResult;
    std::deque<relayed_search> m_searches; // in the order of their times
};

} // namespace oriolehold::flow
