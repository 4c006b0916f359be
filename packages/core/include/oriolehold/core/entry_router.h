#pragma once

#include "oriolehold/core/agent_report.h"
#include "oriolehold/core/balancing_policy.h"
#include "oriolehold/core/configuration.h"
#include "oriolehold/core/flow_token.h"
#include "oriolehold/core/result_code.h"

#include <memory>

// Decisions of an entry instance for the packets of callers. Pure: no sockets, no clock of its own.
//
// One router serves one traffic thread and is not thread-safe. It keeps no state per flow.

namespace oriolehold::core {

enum class route_verdict : std::uint8_t {
    forward, // send the packet to agent
    reply,   // send reply to the caller
    drop,    // send nothing; code tells the reason
};

struct route_decision
{
    route_verdict verdict = route_verdict::drop;
    result_code code = result_code::done;
    endpoint agent;
    byte_view reply; // valid until the next call of route()
};

struct entry_router_options
{
    std::string zone; // availability zone of this entry instance
    duration suspectAfter = std::chrono::milliseconds { 1500 }; // unanswered time before suspicion
    duration warmUp = std::chrono::seconds { 10 };              // slow start of a new incarnation
    // Limit of challenges per service, as a token bucket. Requests beyond it are dropped, so that a
    // flood of new flows costs no choice of an upstream.
    double challengesPerSecond = 100'000.0;
    double challengeBurst = 20'000.0;
    // Limit of probes of this router, over all agents.
    double probesPerSecond = 10.0;
};

class entry_router
{
public:
    // policy and random must outlive the router.
    entry_router(entry_router_options options, balancing_policy &policy, random_source &random);
    ~entry_router();

    // Puts a configuration into effect. One with a generation that is not higher than the current
    // one is ignored; returns whether it took effect.
    bool configure(configuration_pointer configuration, time_point now);
    generation_number generation() const;

    // Decides about one packet that a caller sent to the address of the service.
    route_decision route(const endpoint &caller, service_id service, byte_view packet,
                         time_point now);

    // Learns from the report on any envelope of an agent.
    void observe(const endpoint &agent, const agent_report &report, time_point now);
    // Learns that a datagram could not be delivered to the agent (port unreachable).
    void observeUnreachable(const endpoint &agent, time_point now);

    // Agents that should be probed now: those with unanswered traffic or without a recent report.
    // The number of probes is bounded per call and rises with time, not with the number of agents.
    std::vector<endpoint> probesDue(time_point now);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace oriolehold::core
