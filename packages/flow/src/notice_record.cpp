#include "oriolehold/flow/notice_record.h"

#include <algorithm>

namespace oriolehold::flow {

void notice_record::receive(const upstream_notice &notice, base::time_point now)
{
    m_known = true;
    if (notice.incarnation >= m_incarnation) {
        // Entry instances read the list at different times; the longest warm-up that one states
        // counts.
        const base::time_point endsAt = now + notice.warmUpLeft;
        m_warmUpEndsAt =
                notice.incarnation > m_incarnation ? endsAt : std::max(m_warmUpEndsAt, endsAt);
        m_incarnation = notice.incarnation;
        m_coldRate = notice.coldRate;
    }
    if (notice.evacuationRevision < m_evacuationRevision)
        return;
    const bool wasEvacuated = evacuated(now);
    m_evacuationRevision = notice.evacuationRevision;
    m_evacuated = notice.evacuated;
    if (m_evacuated)
        m_evacuationHeardAt = now;
    else if (wasEvacuated)
        m_warmUpEndsAt = std::max<base::time_point>(m_warmUpEndsAt, now + returnTime);
}

bool notice_record::evacuated(base::time_point now) const
{
    return m_evacuated && now - m_evacuationHeardAt < evacuationTimeout;
}

} // namespace oriolehold::flow
