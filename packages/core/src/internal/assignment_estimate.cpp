#include "internal/assignment_estimate.h"

#include <cmath>

namespace oriolehold::core::internal {

namespace {

// Time until the reports of an agent include an assigned flow. The challenged caller first repeats
// its request: two transfers between client and entry (1 ms each) and one between zones, plus
// queueing.
constexpr duration visibilityWindow = std::chrono::milliseconds { 5 };
// Time constant at which assigned work is assumed to finish while no report arrives.
constexpr double decaySeconds = 0.5;

double secondsBetween(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void assignment_estimate::add(time_point now)
{
    advance(now);
    m_current += 1.0;
}

void assignment_estimate::observeReport(time_point now)
{
    advance(now);
    m_earlier = 0.0;
}

double assignment_estimate::value(time_point now) const
{
    const double total = m_earlier + m_previous + m_current;
    if (total == 0.0 || now - m_windowStart < visibilityWindow)
        return total;
    return total * std::exp(-secondsBetween(m_windowStart, now) / decaySeconds);
}

void assignment_estimate::advance(time_point now)
{
    const duration elapsed = now - m_windowStart;
    if (elapsed < visibilityWindow)
        return;
    const double kept = std::exp(-secondsBetween(m_windowStart, now) / decaySeconds);
    const bool skipped = elapsed >= 2 * visibilityWindow;
    m_earlier = (m_earlier + m_previous + (skipped ? m_current : 0.0)) * kept;
    m_previous = skipped ? 0.0 : m_current * kept;
    m_current = 0.0;
    m_windowStart = now;
}

} // namespace oriolehold::core::internal
