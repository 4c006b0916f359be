#pragma once

#include "oriolehold/base/types.h"

namespace oriolehold::flow {

// When an entry instance reads the store. Each waits until the view is older than the interval plus
// an offset of its own, so the one with the least offset reads and tells the others; when its news
// stop, the next one reads.
class read_schedule
{
public:
    // Changes must be in force within 3 s of their publication at the shortest. A read and two
    // missed turns fit into it.
    static constexpr std::chrono::milliseconds interval { 1100 };
    // Upper end of the offsets.
    static constexpr std::chrono::milliseconds maxOffset { 600 };
    // After a read that gave nothing, while there is a view and while there is none.
    static constexpr std::chrono::milliseconds retryInterval { 1000 };
    static constexpr std::chrono::milliseconds firstRetryInterval { 400 };
    // Between a list and a read that a decision waits for. A list that another instance read counts
    // as older by view_exchange's transfer time, so a round of this length serves all instances.
    static constexpr std::chrono::milliseconds urgentInterval { 100 };
    // Part of the offset that is added to it, so that one of many waiting instances reads for all.
    static constexpr int urgentOffsetDivisor = 6;

    // seed is random and decides the offset.
    explicit read_schedule(std::uint64_t seed);

    // readAt is the time of the read that the view rests on; complete tells whether there is one.
    bool due(base::time_point now, base::time_point readAt, bool complete) const;
    // The same when a decision waits for a newer list; listAt is when the last one came.
    bool urgentlyDue(base::time_point now, base::time_point listAt) const;
    // Time of the next turn if nothing changes.
    base::time_point next(base::time_point readAt, bool complete) const;
    void begin(base::time_point now) { m_lastReadBegunAt = now; }

private:
    std::chrono::milliseconds m_offset;
    base::time_point m_lastReadBegunAt {};
};

} // namespace oriolehold::flow
