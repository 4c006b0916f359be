#include "oriolehold/core/job_length_classifier.h"

#include <algorithm>
#include <cmath>

namespace oriolehold::core {

namespace {

constexpr double quantile = 0.25;
constexpr double minimumStep = 0.1; // powers of two; adapts to a tenfold change in 50 to 150 jobs
constexpr double initialStep = 4.0; // divided by the count, for a fast start
constexpr duration::rep longFactor = 8;

} // namespace

void job_length_classifier::observe(duration expectedService)
{
    if (expectedService <= duration::zero())
        return;
    ++m_count;
    const double value = std::log2(static_cast<double>(expectedService.count()));
    // Stochastic approximation of a quantile: the steps up and down balance when the share of
    // samples below the estimate equals the quantile.
    const double step = std::max(minimumStep, initialStep / static_cast<double>(m_count));
    if (m_count == 1)
        m_log2Quartile = value;
    else if (value > m_log2Quartile)
        m_log2Quartile = std::min(value, m_log2Quartile + step * quantile);
    else
        m_log2Quartile = std::max(value, m_log2Quartile - step * (1.0 - quantile));
    m_lowerQuartile = duration { static_cast<duration::rep>(std::exp2(m_log2Quartile)) };
}

bool job_length_classifier::isLong(duration expectedService) const
{
    return m_count > 0 && expectedService > m_lowerQuartile * longFactor;
}

} // namespace oriolehold::core
