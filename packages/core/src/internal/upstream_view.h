#pragma once

#include "internal/assignment_estimate.h"
#include "oriolehold/core/agent_report.h"
#include "oriolehold/core/balancing_policy.h"
#include "oriolehold/core/configuration.h"

#include <optional>

// What one entry router learned about agents.

namespace oriolehold::core::internal {

// Signs of liveness of one agent.
struct agent_liveness
{
    std::optional<time_point> unansweredSince; // first forward or probe since receivedAt
    std::optional<time_point> unreachableAt;   // notice since receivedAt
    std::optional<time_point> receivedAt;
    std::optional<time_point> probedAt;

    void markSent(time_point now);
    void markReceived(time_point now);
    // Whether a notice says that no process has the agent's address at present.
    bool isUnreachable(time_point now) const;
};

// Time line of what a router hears from agents at all. Silence of an agent counts only while
// others are heard, so that an isolated router suspects nobody.
class silence_detector
{
public:
    explicit silence_detector(duration suspectAfter) : m_suspectAfter(suspectAfter) { }

    void markReceived(time_point now);
    // Whether other agents were heard at least suspectAfter later than the first unanswered
    // message to this one.
    bool isSilent(const agent_liveness &agent) const;

private:
    duration m_suspectAfter;
    std::optional<time_point> m_receivedAt;
    time_point m_receivingSince {}; // end of the last time without any message
};

// Load and liveness of one configured upstream. What a packet of an established flow needs stands
// first and in one cache line.
class alignas(64) upstream_view
{
public:
    upstream_view(const core::upstream &upstream, bool sameZone);

    // Takes over what was learned under the previous configuration.
    void copyStateFrom(const upstream_view &previous);

    const core::upstream &upstream() const { return *m_upstream; }
    const endpoint &agent() const { return m_agent; }
    service_id service() const { return m_service; }
    agent_liveness &liveness() { return m_liveness; }
    const agent_liveness &liveness() const { return m_liveness; }

    // Begins the slow start of an upstream that was added to the configuration or came back.
    void startWarmUp(time_point now) { m_warmUpStart = now; }
    void observe(const agent_report &report, time_point now);
    void markAssigned(time_point now) { m_assigned.add(now); }

    bool isDraining() const;
    bool hasFreeConnection() const;
    // The incarnation to bind a token to; unknown when the last report is too old to trust.
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
    std::optional<time_point> m_warmUpStart; // start of the slow start
    assignment_estimate m_assigned;
};

} // namespace oriolehold::core::internal
