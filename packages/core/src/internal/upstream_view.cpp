#include "internal/upstream_view.h"

#include <algorithm>
#include <cmath>

namespace oriolehold::core::internal {

namespace {

// An unreachable notice is valid for at most this time, and only until the agent sends a message.
constexpr duration unreachableNoticeLifetime = std::chrono::seconds { 5 };
// An order with a token that is bound to a previous incarnation ends as "unknown", so tokens are
// bound only while a restart since the last report is unlikely.
constexpr duration maxBindableReportAge = std::chrono::seconds { 3 };
// Datagrams of a previous incarnation arrive at most this time after those of the next one. A lower
// incarnation after this time comes from a machine whose clock was set back.
constexpr duration reorderingLimit = std::chrono::seconds { 1 };
// Share of suspectAfter within which a probe is answered.
constexpr int probeAnswerShare = 4;
// Warm-up factor at the start. It is positive, because an upstream without traffic never warms up.
constexpr double minimumWarmUpFactor = 0.05;

constexpr duration incarnationUnit = std::chrono::milliseconds { 100 };

// Time since the start of the agent according to its incarnation; duration::max() if the
// incarnation is too far in the future to be a start time.
duration ageOf(incarnation value, time_point now)
{
    const auto current = static_cast<std::uint32_t>(now.time_since_epoch() / incarnationUnit);
    const duration age = static_cast<std::int32_t>(current - toInteger(value)) * incarnationUnit;
    return age < -maxClockSkew ? duration::max() : std::max(age, duration::zero());
}

// Whether first is older than second in serial number arithmetic of 32 bits.
bool isOlder(incarnation first, incarnation second)
{
    return static_cast<std::int32_t>(toInteger(first) - toInteger(second)) < 0;
}

} // namespace

void agent_liveness::markSent(time_point now)
{
    if (!unansweredSince)
        unansweredSince = now;
}

void agent_liveness::markProbed(time_point now)
{
    probedAt = now;
    if (!probeUnansweredSince)
        probeUnansweredSince = now;
    markSent(now);
}

void agent_liveness::markReceived(time_point now)
{
    receivedAt = now;
    unansweredSince.reset();
    probeUnansweredSince.reset();
    unreachableAt.reset();
}

bool agent_liveness::isUnreachable(time_point now) const
{
    return unreachableAt && now - *unreachableAt < unreachableNoticeLifetime;
}

void silence_detector::markReceived(time_point now)
{
    if (!m_receivedAt || now - *m_receivedAt >= m_suspectAfter)
        m_receivingSince = now;
    m_receivedAt = now;
}

bool silence_detector::isSilent(const agent_liveness &agent) const
{
    return isUnanswered(agent.unansweredSince, m_suspectAfter);
}

bool silence_detector::isSilentToProbes(const agent_liveness &agent) const
{
    return isSilent(agent)
            && isUnanswered(agent.probeUnansweredSince, m_suspectAfter / probeAnswerShare);
}

bool silence_detector::isUnanswered(const std::optional<time_point> &since, duration limit) const
{
    return since && m_receivedAt && *m_receivedAt - std::max(*since, m_receivingSince) >= limit;
}

upstream_view::upstream_view(const core::upstream &upstream, bool sameZone)
    : m_upstream(&upstream), m_agent(upstream.agent), m_service(upstream.service),
      m_sameZone(sameZone)
{ }

void upstream_view::copyStateFrom(const upstream_view &previous)
{
    m_liveness = previous.m_liveness;
    m_report = previous.m_report;
    m_warmUpStart = previous.m_warmUpStart;
    m_assigned = previous.m_assigned;
}

bool upstream_view::isReordered(const agent_report &report, time_point now) const
{
    return m_report && isOlder(report.incarnation, m_report->incarnation) && m_liveness.receivedAt
            && now - *m_liveness.receivedAt < reorderingLimit;
}

void upstream_view::observe(const agent_report &report, time_point now)
{
    if (isReordered(report, now))
        return;
    if (m_report && m_report->incarnation != report.incarnation) {
        startWarmUp(now);
        m_assigned = {};
    }
    m_report = report;
    m_assigned.observeReport(now);
    m_liveness.markReceived(now);
}

bool upstream_view::isDraining() const
{
    return m_report && m_report->state == agent_state::draining;
}

bool upstream_view::hasFreeConnection() const
{
    return !m_report || m_report->connections < m_upstream->connections;
}

incarnation upstream_view::currentIncarnation(time_point now) const
{
    const bool recent =
            m_liveness.receivedAt && now - *m_liveness.receivedAt <= maxBindableReportAge;
    return m_report && recent && !m_liveness.isUnreachable(now) ? m_report->incarnation
                                                                : incarnation::unknown;
}

double upstream_view::warmUpFactor(duration warmUp, time_point now) const
{
    duration age = m_report ? ageOf(m_report->incarnation, now) : duration::max();
    if (m_warmUpStart)
        age = std::min(age, now - *m_warmUpStart);
    if (age >= warmUp)
        return 1.0;
    return std::clamp(std::chrono::duration<double>(age) / warmUp, minimumWarmUpFactor, 1.0);
}

upstream_candidate upstream_view::candidate(class_kind kind, duration warmUp, time_point now) const
{
    upstream_candidate result;
    result.upstream = m_upstream;
    result.sameZone = m_sameZone;
    result.kind = kind;
    result.warmUpFactor = warmUpFactor(warmUp, now);
    const double assigned = m_assigned.value(now);
    result.outstanding = assigned;
    if (m_report) {
        result.outstanding += m_report->running + m_report->queued;
        result.meanServiceTime = m_report->meanServiceTime;
        result.reportAge = m_liveness.receivedAt ? now - *m_liveness.receivedAt : duration::zero();
        const double added = assigned * static_cast<double>(m_report->meanServiceTime.count())
                / std::max<double>(m_upstream->slots, 1.0);
        result.expectedWait =
                m_report->expectedWait + duration { static_cast<duration::rep>(added) };
    }
    return result;
}

} // namespace oriolehold::core::internal
