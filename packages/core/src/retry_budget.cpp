#include "oriolehold/core/retry_budget.h"

#include <algorithm>

namespace oriolehold::core {

retry_budget::retry_budget(retry_budget_options options)
    : m_options(options), m_tokens(std::min(1.0, options.maximumTokens))
{ }

void retry_budget::recordRequest(time_point now)
{
    advance(now);
    addTokens(m_options.share);
}

bool retry_budget::tryAcquire(time_point now)
{
    advance(now);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void retry_budget::addTokens(double tokens)
{
    m_tokens = std::min(m_tokens + tokens, m_options.maximumTokens);
}

void retry_budget::advance(time_point now)
{
    if (m_started && now > m_updated)
        addTokens(m_options.minimumRate * std::chrono::duration<double>(now - m_updated).count());
    m_updated = m_started ? std::max(m_updated, now) : now;
    m_started = true;
}

} // namespace oriolehold::core
