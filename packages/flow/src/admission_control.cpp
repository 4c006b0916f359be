#include "oriolehold/flow/admission_control.h"

#include <algorithm>

namespace oriolehold::flow {

namespace {

// For routes without a latency objective; about the smallest value of other routes.
constexpr std::chrono::milliseconds defaultObjective { 100 };

} // namespace

base::duration admission_control::expectedWait(std::uint64_t ahead, std::uint32_t places,
                                               base::duration meanServiceTime)
{
    // With all places taken, they end one request every meanServiceTime / places.
    if (places == 0 || ahead < places)
        return {};
    return meanServiceTime * static_cast<std::int64_t>(ahead + 1 - places) / places;
}

std::uint32_t admission_control::expected(std::uint8_t priority, base::time_point now)
{
    boost::unordered::erase_if(m_expected,
                               [now](const auto &item) { return item.second.until <= now; });
    return static_cast<std::uint32_t>(std::ranges::count_if(
            m_expected, [=](const auto &item) { return item.second.priority <= priority; }));
}

base::duration admission_control::waitOf(std::uint8_t priority, const admission_load &load,
                                         base::time_point now)
{
    const std::uint64_t ahead =
            std::uint64_t { load.running } + load.held + expected(priority, now);
    return expectedWait(ahead, load.places, load.meanServiceTime);
}

base::duration admission_control::longestBegin(const packet_tag &tag,
                                               base::duration meanServiceTime)
{
    const base::duration objective =
            tag.latencyObjective.count() > 0 ? tag.latencyObjective : defaultObjective;
    const int factor = tag.priority == 0 ? urgentFactor : admissionFactor;
    return objective - factor * meanServiceTime;
}

bool admission_control::admit(const flow_key &key, const packet_tag &tag, base::duration elapsed,
                              const admission_load &load, base::time_point now)
{
    const base::duration wait = waitOf(tag.priority, load, now);
    // A free place is given also to a request that is late: no other one needs it.
    if (wait > base::duration::zero() && elapsed + wait > longestBegin(tag, load.meanServiceTime))
        return false;
    m_expected[key] = { tag.priority, now + requestTime };
    return true;
}

} // namespace oriolehold::flow
