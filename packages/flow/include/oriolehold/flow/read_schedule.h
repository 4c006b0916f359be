#pragma once

#include "oriolehold/base/types.h"

namespace oriolehold::flow {

// Decides when an entry instance reads the store. Each instance reads when its view is older than
// the interval plus a random offset of its own. The one with the smallest offset reads, and its
// summaries postpone the reads of the others. If they stop, the next instance reads.
class read_schedule
{
public:
    // Changes must be in force within 3 s of their publication at the shortest. One read and two
    // missed ones fit into this time.
    static constexpr std::chrono::milliseconds interval { 1100 };
    // Upper limit of the offsets.
    static constexpr std::chrono::milliseconds maxOffset { 600 };
    // Waits after a failed read, with a view and without one.
    static constexpr std::chrono::milliseconds retryInterval { 1000 };
    static constexpr std::chrono::milliseconds firstRetryInterval { 400 };
    // The latter for an instance that is no seed, plus its offset. It gets the view from a seed,
    // and reads in case none has it: hundreds of instances start together.
    static constexpr std::chrono::milliseconds fallbackInterval { 1500 };
    // Wait between the arrival of a list and a read that a search needs. A list that another
    // instance read counts as older by view_exchange::transferTime, so that a round of this length
    // serves all instances.
    static constexpr std::chrono::milliseconds urgentInterval { 100 };
    // The offset divided by this is added, so that one of many waiting instances reads for all.
    static constexpr int urgentOffsetDivisor = 6;

    // The offset is derived from randomNumber. asksSeeds is set if other instances are asked for
    // the view while there is none.
    read_schedule(std::uint64_t randomNumber, bool asksSeeds);

    // Whether a read is due. readAt is the time of the read that the view comes from; complete says
    // whether there is a view.
    bool due(base::time_point now, base::time_point readAt, bool complete) const;
    // The same while a search needs a newer list. listAt is the arrival of the last one.
    bool urgentlyDue(base::time_point now, base::time_point listAt) const;
    // Whether a read may be repeated whose result is still missing.
    bool retryDue(base::time_point now) const { return now >= m_lastReadBegunAt + retryInterval; }
    // Time of the next read if the view stays the same.
    base::time_point next(base::time_point readAt, bool complete) const;
    // A read begins now.
    void begin(base::time_point now) { m_lastReadBegunAt = now; }

private:
    std::chrono::milliseconds m_offset;
    bool m_asksSeeds;
    base::time_point m_lastReadBegunAt {};
};

} // namespace oriolehold::flow
