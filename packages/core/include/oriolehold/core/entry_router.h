#pragma once

#include "oriolehold/core/agent_report.h"
#include "oriolehold/core/balancing_policy.h"
#include "oriolehold/core/configuration.h"
#include "oriolehold/core/flow_token.h"
#include "oriolehold/core/result_code.h"

#include <memory>

// Routing decisions of an entry instance for packets from callers. Uses no sockets and no clock.
//
// Each traffic thread has its own router, which is not thread-safe. It keeps no state per flow.

namespace oriolehold::core {

enum class route_verdict : std::uint8_t {
    forward, // send the packet to agent
    reply,   // send reply to the caller
    drop,    // send nothing; code is the reason
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
    duration suspectAfter = std::chrono::milliseconds { 1500 }; // unanswered time until suspect
    duration warmUp = std::chrono::seconds { 10 };              // from a start to full capacity
    // Token bucket that limits challenges per service. Requests beyond it are dropped before an
    // upstream is chosen, which keeps a flood of new flows cheap.
    double challengesPerSecond = 100'000.0;
    double challengeBurst = 20'000.0;
    // Limit for the probes of this router to all agents together.
    double probesPerSecond = 10.0;
};

class entry_router
{
public:
    // policy and random must outlive the router.
    entry_router(entry_router_options options, balancing_policy &policy, random_source &random);
    ~entry_router();

    // Applies a configuration and returns true. Returns false and ignores it if its generation is
    // not higher than the current one.
    bool configure(configuration_pointer configuration, time_point now);
    generation_number generation() const;

    // Routes one packet that a caller sent to the address of the service.
    route_decision route(const endpoint &caller, service_id service, byte_view packet,
                         time_point now);

    // Updates the state of an agent from the report on one of its envelopes.
    void observe(const endpoint &agent, const agent_report &report, time_point now);
    // Records that a datagram could not be delivered to the agent (port unreachable).
    void observeUnreachable(const endpoint &agent, time_point now);

    // Returns the agents to probe now: those with unanswered traffic or without a recent report.
    // The number of probes is bounded per call and depends on elapsed time, not on the number of
    // agents.
    std::vector<endpoint> probesDue(time_point now);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace oriolehold::core
