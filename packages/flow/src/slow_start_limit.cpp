#include "oriolehold/flow/slow_start_limit.h"

#include <algorithm>

namespace oriolehold::flow {

namespace {

// A request that waits behind another one in the single slot of an upstream takes twice as long, so
// only more than that is a sign of too many requests.
constexpr int slowFactor = 5; // halves
constexpr double decrease = 0.75;
// The fastest time moves by this fraction towards a slower window, so that an upstream that has
// become slower for good is not limited for good.
constexpr int driftDivisor = 8;

// A limit of one lasts this long after the start or the silence, so that a single slow request does
// not hold up all others. The shortest latency objectives are about as long.
constexpr base::duration longestSingle { 100'000 };

} // namespace

void slow_start_limit::setMaximum(double requests)
{
    m_maximum = std::max(requests, 1.0);
    m_limit = std::min(m_limit, m_maximum);
}

void slow_start_limit::begin(std::string_view reason, base::time_point now)
{
    m_limiting = true;
    m_doubling = true;
    m_limit = std::max(1.0, (m_maximum - 1.0) / 2);
    m_reason = reason;
    m_begunAt = now;
    m_windowCount = 0;
    m_failures = 0;
}

void slow_start_limit::upstreamStarted(base::time_point now)
{
    m_fastest = {};
    begin("the upstream has started", now);
}

void slow_start_limit::upstreamRecovering(base::time_point now)
{
    begin("the upstream does not answer", now);
}

void slow_start_limit::answered(base::duration serviceTime, double running, base::time_point now)
{
    m_failures = 0;
    // Requests from before the start or the silence tell nothing about the upstream after it.
    if (now - serviceTime < m_begunAt)
        return;
    if (m_limiting)
        grow(running);
    m_window[m_windowCount++] = serviceTime;
    if (m_windowCount == windowSize)
        judgeWindow();
}

void slow_start_limit::grow(double running)
{
    if (m_limit >= m_maximum)
        return;
    const bool inUse = running + 1.0 > m_limit;
    m_limit = std::min(m_maximum, m_limit + (m_doubling && inUse ? 1.0 : 1.0 / m_limit));
    m_reason = "answers in time";
}

void slow_start_limit::judgeWindow()
{
    m_windowCount = 0;
    const auto middle = m_window.begin() + windowSize / 2;
    std::ranges::nth_element(m_window, middle);
    if (m_fastest == base::duration::zero() || *middle < m_fastest)
        m_fastest = *middle;
    const bool slow = *middle * 2 > m_fastest * slowFactor;
    m_fastest += (*middle - m_fastest) / driftDivisor;
    if (!m_limiting)
        return;
    if (slow) {
        m_limit = std::max(1.0, m_limit * decrease);
        m_doubling = false;
        m_reason = "answers take longer";
    } else if (m_limit >= m_maximum && !m_warmingUp) {
        m_limiting = false;
    }
}

void slow_start_limit::advance(base::time_point now)
{
    if (!m_limiting || m_limit >= 2.0 || now - m_begunAt < longestSingle)
        return;
    m_limit = std::min(m_maximum, 2.0);
    m_reason = "one slow request";
}

void slow_start_limit::failed(base::time_point now)
{
    if (++m_failures < failureRun)
        return;
    begin("the upstream fails requests", now);
}

} // namespace oriolehold::flow
