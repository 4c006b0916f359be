#include "oriolehold/flow/read_schedule.h"

#include <algorithm>

namespace oriolehold::flow {

read_schedule::read_schedule(std::uint64_t randomNumber, bool asksSeeds)
    : m_offset(randomNumber % static_cast<std::uint64_t>(maxOffset.count())), m_asksSeeds(asksSeeds)
{ }

base::time_point read_schedule::next(base::time_point readAt, bool complete) const
{
    if (!complete && m_asksSeeds && m_lastReadBegunAt != base::time_point {})
        return m_lastReadBegunAt + fallbackInterval + m_offset;
    if (!complete)
        return m_lastReadBegunAt + firstRetryInterval;
    return std::max(readAt + interval + m_offset, m_lastReadBegunAt + retryInterval);
}

bool read_schedule::due(base::time_point now, base::time_point readAt, bool complete) const
{
    return now >= next(readAt, complete);
}

bool read_schedule::urgentlyDue(base::time_point now, base::time_point listAt) const
{
    return now >= m_lastReadBegunAt + urgentInterval
            && now >= listAt + urgentInterval + m_offset / urgentOffsetDivisor;
}

} // namespace oriolehold::flow
