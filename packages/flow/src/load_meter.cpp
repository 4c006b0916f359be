#include "oriolehold/flow/load_meter.h"

#include <algorithm>
#include <cmath>

namespace oriolehold::flow {

namespace {

constexpr double reportUnit = 1000.0; // the mean is reported in thousandths
// A new sample has a weight of 1/16 in the mean duration, so about the last 16 requests count.
constexpr int durationSampleCount = 16;
constexpr unsigned firstAnswerCount = 2; // after a restart

} // namespace

void load_meter::restart(base::time_point now)
{
    m_restartedAt = now;
    m_firstAnswers = firstAnswerCount;
    m_meanServiceTime = {};
}

double load_meter::meanAt(base::time_point now) const
{
    if (m_firstAnswers == firstAnswerCount)
        return m_running;
    const double elapsed = std::chrono::duration<double>(now - m_meanAt)
            / std::chrono::duration<double>(averagingTime);
    const double decay = std::exp(-elapsed);
    return m_mean * decay + m_running * (1.0 - decay);
}

void load_meter::advance(base::time_point now)
{
    m_mean = m_meanAt == base::time_point {} ? 0.0 : meanAt(now);
    m_meanAt = now;
}

void load_meter::begin(base::time_point now)
{
    advance(now);
    ++m_running;
}

void load_meter::abandon(base::time_point now)
{
    advance(now);
    if (m_running > 0)
        --m_running;
}

void load_meter::end(base::duration elapsed, base::time_point now)
{
    abandon(now);
    if (now - elapsed < m_restartedAt)
        return;
    if (m_firstAnswers > 0 && m_meanServiceTime != base::duration::zero())
        m_meanServiceTime = std::min(m_meanServiceTime, elapsed);
    else if (m_meanServiceTime == base::duration::zero())
        m_meanServiceTime = elapsed;
    else
        m_meanServiceTime += (elapsed - m_meanServiceTime) / durationSampleCount;
    m_firstAnswers -= m_firstAnswers > 0 ? 1 : 0;
}

std::uint32_t load_meter::meanRunning(base::time_point now) const
{
    return m_meanAt == base::time_point {}
            ? 0
            : static_cast<std::uint32_t>(std::lround(meanAt(now) * reportUnit));
}

} // namespace oriolehold::flow
