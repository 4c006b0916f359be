#pragma once

#include "internal/assignment_estimate.h"
#include "oriolehold/core/agent_report.h"
#include "oriolehold/core/balancing_policy.h"
#include "oriolehold/core/configuration.h"

#include <optional>

// State of the agents as seen by one entry router.

namespace oriolehold::core::internal {

// Times of the last messages to and from one agent.
struct agent_liveness
{
    std::optional<time_point> unansweredSince; // first packet or probe sent since receivedAt
    std::optional<time_point> unreachableAt;   // port-unreachable notice since receivedAt
    std::optional<time_point> receivedAt;
    std::optional<time_point> probedAt;
    std::optional<time_point> probeUnansweredSince; // first probe sent since receivedAt

    void markSent(time_point now);
    void markProbed(time_point now);
    void markReceived(time_point now);
    // Whether a recent port-unreachable notice shows that no process uses the agent's address.
    bool isUnreachable(time_point now) const;
};

// Detects agents that stopped responding. An agent counts as silent only while messages of other
// agents arrive, so that an isolated router suspects no agent.
class silence_detector
{
public:
    explicit silence_detector(duration suspectAfter) : m_suspectAfter(suspectAfter) { }

    void markReceived(time_point now);
    // Whether messages of other agents arrived at least suspectAfter later than the first
    // unanswered message to this one.
    bool isSilent(const agent_liveness &agent) const;
    // Whether a silent agent also left a probe unanswered. The packet that the agent did not answer
    // may have been lost, and the probe limit may delay the probes.
    bool isSilentToProbes(const agent_liveness &agent) const;

private:
    bool isUnanswered(const std::optional<time_point> &since, duration limit) const;

    duration m_suspectAfter;
    std::optional<time_point> m_receivedAt;
    time_point m_receivingSince {}; // end of the last interval without any message
};

// Load and liveness of one configured upstream. The members used by packets of established flows
// come first and share one cache line.
class alignas(64) upstream_view
{
public:
    upstream_view(const core::upstream &upstream, bool sameZone);

    // Copies load and liveness from the view of the previous configuration.
    void copyStateFrom(const upstream_view &previous);

    const core::upstream &upstream() const { return *m_upstream; }
    const endpoint &agent() const { return m_agent; }
    service_id service() const { return m_service; }
    agent_liveness &liveness() { return m_liveness; }
    const agent_liveness &liveness() const { return m_liveness; }

    // Starts the warm-up of an upstream that was added, restarted or became reachable again.
    void startWarmUp(time_point now) { m_warmUpStart = now; }
    void observe(const agent_report &report, time_point now);
    void markAssigned(time_point now) { m_assigned.add(now); }

    bool isDraining() const;
    bool hasFreeConnection() const;
    // The incarnation to bind a token to; unknown if the last report is too old.
    core::incarnation currentIncarnation(time_point now) const;
    upstream_candidate candidate(class_kind kind, duration warmUp, time_point now) const;

private:
    bool isReordered(const agent_report &report, time_point now) const;
    double warmUpFactor(duration warmUp, time_point now) const;

    const core::upstream *m_upstream;
    endpoint m_agent;
    service_id m_service;
    bool m_sameZone;
    agent_liveness m_liveness;
    std::optional<agent_report> m_report;
    std::optional<time_point> m_warmUpStart; // start of the current warm-up
    assignment_estimate m_assigned;
};

} // namespace oriolehold::core::internal
