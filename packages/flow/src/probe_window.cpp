#include "oriolehold/flow/probe_window.h"

#include <algorithm>

namespace oriolehold::flow {

namespace {

constexpr double reduction = 0.5;
// Below this share of lost probes the limit stays: single agents may be gone or slow.
constexpr double toleratedLossShare = 0.25;

} // namespace

void probe_window::withdrawn()
{
    if (m_outstanding > 0)
        --m_outstanding;
}

void probe_window::answered()
{
    withdrawn();
    ++m_answers;
    m_limit = std::min(m_limit + (m_limit < m_slowStartEnd ? 1.0 : 1.0 / m_limit), maxLimit);
}

void probe_window::expired(bool isLoss, base::time_point now)
{
    withdrawn();
    if (!isLoss)
        return;
    ++m_losses;
    // One reduction for the probes that were on their way together.
    if (now - m_lastReductionAt < answerTimeout)
        return;
    const auto losses = static_cast<double>(m_losses);
    if (losses > toleratedLossShare * (losses + static_cast<double>(m_answers))) {
        m_limit = std::max(m_limit * reduction, minLimit);
        m_slowStartEnd = m_limit;
    }
    m_lastReductionAt = now;
    m_answers = 0;
    m_losses = 0;
}

} // namespace oriolehold::flow
