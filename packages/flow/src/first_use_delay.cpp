#include "oriolehold/flow/first_use_delay.h"

#include <algorithm>
#include <functional>

namespace oriolehold::flow {

void first_use_delay::observe(base::time_point now)
{
    if (m_observedAt != base::time_point {} && now - m_observedAt > stallTime)
        m_stallEndedAt = now;
    m_observedAt = now;
}

bool first_use_delay::isStartedFor(const upstream_record &record, base::duration time,
                                   base::time_point readAt)
{
    using std::chrono::milliseconds;
    // Unix milliseconds; 0 when unknown.
    const auto limit = std::chrono::duration_cast<milliseconds>(readAt.time_since_epoch() - time);
    return record.incarnation != 0 && limit > milliseconds::zero()
            && record.incarnation <= static_cast<std::uint64_t>(limit.count());
}

void first_use_delay::update(const upstream_list &list, base::time_point readAt,
                             base::time_point now, const record_filter &isKnownService)
{
    if (!enabled())
        return;
    const bool mayLackEntries = list.revision.era != m_revision.era
            || readAt - m_readAt > upstream_directory::outageGap;
    if (m_readAt != base::time_point {} && mayLackEntries)
        m_incompleteUntil = now + upstream_directory::reregistrationTime + m_delay;
    if (m_readAt == base::time_point {})
        m_firstReadAt = readAt;
    m_revision = list.revision;
    m_readAt = readAt;
    for (const upstream_record &record : list.upstreams) {
        if (!isKnownService(record))
            continue;
        const auto [item, added] = m_addresses.try_emplace(record.address.address);
        listed_address &address = item->second;
        if (added || !address.listed) {
            address.knownAt = now + m_delay;
            address.knownToAllAt = address.knownAt + knownToAllTime;
        }
        address.listed = true;
        address.seenInList = readAt;
        // An address that was missing in a former list is new, or was missing in lists of other
        // instances, too, whatever its entry says.
        if (readAt != m_firstReadAt)
            continue;
        const base::duration startTime = longStartTime + m_delay;
        if (isStartedFor(record, startTime, readAt))
            address.knownAt = {};
        if (isStartedFor(record, startTime + base::maxClockSkew, readAt))
            address.knownToAllAt = {};
    }
    for (auto &[machine, address] : m_addresses) {
        if (!address.listed || address.seenInList == readAt)
            continue;
        address.listed = false;
        address.removedAt = now;
    }
    boost::unordered::erase_if(m_addresses, [now](const auto &item) {
        return !item.second.listed
                && now - item.second.removedAt > upstream_directory::removedRetention;
    });
}

const first_use_delay::listed_address *first_use_delay::find(std::uint32_t machine) const
{
    const auto found = m_addresses.find(machine);
    return found == m_addresses.end() || !found->second.listed ? nullptr : &found->second;
}

bool first_use_delay::isKnown(std::uint32_t machine, base::time_point now) const
{
    const listed_address *address = find(machine);
    return address != nullptr && now >= address->knownAt;
}

bool first_use_delay::removeUnknown(std::vector<known_upstream *> &candidates,
                                    base::time_point now) const
{
    const auto known = [&](const known_upstream *item) { return isKnown(item->machine(), now); };
    if (!enabled() || std::ranges::none_of(candidates, known))
        return false;
    return std::erase_if(candidates, std::not_fn(known)) > 0;
}

bool first_use_delay::isComplete(std::span<known_upstream *const> candidates,
                                 base::time_point now) const
{
    if (!enabled() || m_readAt <= m_stallEndedAt || now - m_readAt > m_delay - margin
        || now < m_incompleteUntil)
        return false;
    const auto count = std::ranges::count_if(candidates, [&](const known_upstream *item) {
        const listed_address *address = find(item->machine());
        return address != nullptr && now >= address->knownToAllAt;
    });
    return count >= static_cast<std::ptrdiff_t>(leastKnownUpstreams);
}

} // namespace oriolehold::flow
