#include "oriolehold/flow/opening_limiter.h"

#include <algorithm>
#include <cmath>

namespace oriolehold::flow {

namespace {

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

// Rounded up, so that a packet may pass at the end of it.
base::duration fromSeconds(double value)
{
    constexpr double unit = 1e6;
    constexpr double longest = 3600;
    return base::duration { static_cast<std::int64_t>(std::ceil(std::min(value, longest) * unit)) };
}

// Entry instances place flows by reports of this age, so as many packets may arrive in a burst.
constexpr double burstTime = 0.5; // seconds: two and a half intervals of the reports
// Rounding of the sum of tokens must not delay a packet that is due.
constexpr double roundingError = 1e-6;

} // namespace

void opening_limiter::update(double coldRate, base::time_point coldUntil, base::time_point now)
{
    advance(now);
    const bool firstRate = !hasRate();
    m_coldRate = std::max(coldRate, 0.0);
    m_coldUntil = coldUntil;
    m_tokens = firstRate ? maxTokens() : std::min(m_tokens, maxTokens());
}

void opening_limiter::suspectRestart(base::time_point since, base::time_point now)
{
    m_suspectedSince = now < m_suspectedUntil ? std::min(m_suspectedSince, since) : since;
    m_suspectedUntil = now + restartNoticeTime;
}

void opening_limiter::confirmRunning(base::time_point since)
{
    if (since < m_suspectedSince)
        m_suspectedUntil = {};
}

bool opening_limiter::isLimited(base::time_point now) const
{
    if (!m_bounds)
        return false;
    return !m_coldRate || (*m_coldRate > 0 && now < std::max(m_coldUntil, m_suspectedUntil));
}

bool opening_limiter::hasHistory(base::time_point now) const
{
    return m_startedAt != base::time_point {} && now - m_startedAt >= window;
}

std::size_t opening_limiter::capacity(base::time_point now) const
{
    // One packet of the slack is left for a rate that is too low for one packet a second.
    const std::uint32_t slack = m_bounds->slack;
    const std::size_t unknown = slack > 1 ? slack - 1 : slack;
    if (!hasRate())
        return unknown;
    const double rate = *m_coldRate * m_bounds->overage;
    const double known = std::min(std::max(std::floor(rate), 1.0), std::floor(rate + slack));
    return hasHistory(now) ? static_cast<std::size_t>(known) : unknown;
}

double opening_limiter::maxTokens() const
{
    return hasRate() ? 1 + *m_coldRate * burstTime : 0;
}

double opening_limiter::tokensAt(base::time_point now) const
{
    if (!hasRate())
        return 0;
    return std::min(m_tokens + *m_coldRate * seconds(now - m_tokensAt), maxTokens());
}

void opening_limiter::advance(base::time_point now)
{
    if (m_startedAt == base::time_point {})
        m_startedAt = now;
    while (m_passed.size() > m_unflushed && now - m_passed.front() >= window)
        m_passed.pop_front();
    if (now > m_tokensAt) {
        m_tokens = tokensAt(now);
        m_tokensAt = now;
    }
}

bool opening_limiter::mayPass(base::time_point now)
{
    if (!m_bounds)
        return true;
    advance(now);
    if (!isLimited(now))
        return true;
    return m_passed.size() < capacity(now) && (!hasRate() || m_tokens >= 1 - roundingError);
}

void opening_limiter::pass(base::time_point now)
{
    if (!m_bounds)
        return;
    advance(now);
    m_passed.push_back(now);
    ++m_unflushed;
    m_tokens = std::max(m_tokens - 1, 0.0);
}

void opening_limiter::flushed(base::time_point now)
{
    std::fill(m_passed.end() - static_cast<std::ptrdiff_t>(m_unflushed), m_passed.end(), now);
    m_unflushed = 0;
}

std::uint16_t opening_limiter::room(base::duration time, base::time_point now)
{
    if (m_bounds)
        advance(now);
    if (!isLimited(now))
        return capacity_report::unlimited;
    const auto end = now + time;
    const auto left = std::ranges::count_if(
            m_passed, [&](base::time_point passedAt) { return end - passedAt < window; });
    double result = static_cast<double>(capacity(now)) - static_cast<double>(left);
    if (hasRate())
        result = std::min(result,
                          std::floor(m_tokens + *m_coldRate * seconds(time) + roundingError));
    return static_cast<std::uint16_t>(
            std::clamp<double>(result, 0, capacity_report::unlimited - 1));
}

base::time_point opening_limiter::next(base::time_point now)
{
    if (mayPass(now))
        return now;
    base::time_point result = now;
    const std::size_t limit = capacity(now);
    if (limit == 0)
        return base::time_point::max();
    if (m_passed.size() >= limit)
        result = m_passed[m_passed.size() - limit] + window;
    if (hasRate())
        result = std::max(result, now + fromSeconds((1 - m_tokens) / *m_coldRate));
    return std::max(result, now);
}

} // namespace oriolehold::flow
