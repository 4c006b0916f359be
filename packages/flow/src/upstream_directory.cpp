#include "oriolehold/flow/upstream_directory.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace oriolehold::flow {

upstream_directory::credibility
upstream_directory::credibilityOf(const upstream_record &record, const known_upstream *known,
                                  const record_filter &isKnownService)
{
    const bool isAnnounced =
            known != nullptr && known->announcedService == serviceDigest(record.service);
    return { isAnnounced, isKnownService(record) };
}

// Several entries may have the same address: that of a former upstream, which has not lapsed yet,
// or one of another writer. The most credible one counts, of these the one that started last, then
// the known one. Which of equally credible ones that started at the same time is the upstream's
// cannot be told, so no new flow goes there if one of them drains.
std::vector<upstream_directory::listed_record>
upstream_directory::recordsByMachine(const upstream_list &list,
                                     const record_filter &isKnownService) const
{
    const auto rank = [&](const upstream_record &record) {
        const known_upstream *known = find(record.address.address);
        return std::tuple(credibilityOf(record, known, isKnownService), record.incarnation,
                          known != nullptr && known->record.id == record.id);
    };
    const auto isSameStart = [&](const upstream_record &record, const upstream_record &other) {
        const known_upstream *known = find(record.address.address);
        return record.incarnation == other.incarnation
                && credibilityOf(record, known, isKnownService)
                == credibilityOf(other, known, isKnownService);
    };
    boost::unordered_flat_map<std::uint32_t, std::size_t> positions;
    std::vector<listed_record> result;
    for (const upstream_record &record : list.upstreams) {
        const bool drains = record.phase == upstream_phase::draining;
        const auto [item, added] = positions.try_emplace(record.address.address, result.size());
        if (added) {
            result.push_back({ &record, drains });
            continue;
        }
        listed_record &chosen = result[item->second];
        const bool replaces = rank(record) > rank(*chosen.record);
        if (isSameStart(record, *chosen.record))
            chosen.anyDrains = chosen.anyDrains || drains;
        else if (replaces)
            chosen.anyDrains = drains;
        if (replaces)
            chosen.record = &record;
    }
    return result;
}

bool upstream_directory::update(const upstream_list &list, base::time_point readAt,
                                base::time_point now, const record_filter &isKnownService,
                                const std::function<void(const directory_change &)> &onChange)
{
    if (list.revision < m_revision || readAt < m_readAt)
        return false;
    const bool restored = list.revision.era != m_revision.era;
    if (m_readAt != base::time_point {} && (restored || readAt - m_readAt > outageGap))
        m_outageEndedAt = now;
    m_revision = list.revision;
    m_readAt = readAt;
    using change = directory_change::kind;
    for (const listed_record &listed : recordsByMachine(list, isKnownService)) {
        const upstream_record &record = *listed.record;
        const auto [item, added] = m_upstreams.try_emplace(record.address.address);
        known_upstream &known = item->second;
        const bool restarted = !added
                && (known.record.incarnation != record.incarnation
                    || (record.incarnation == 0 && known.record.id != record.id));
        const bool isLessCredible = credibilityOf(known.record, &known, isKnownService)
                < credibilityOf(record, &known, isKnownService);
        if (restarted && known.record.incarnation > record.incarnation && !isLessCredible)
            continue; // a former upstream of the address; its entry has not lapsed yet
        // An upstream does not end its drain before it restarts. An entry that says so is older
        // than the known one, as in a store that was restored from a copy.
        const bool drains = !added && !restarted && record.incarnation != 0
                && known.record.phase == upstream_phase::draining;
        if (added)
            onChange({ change::added, record.id, record.address });
        else if (restarted)
            onChange({ change::restarted, record.id, record.address });
        else if (known.record.phase != record.phase && !drains)
            onChange({ change::phaseChanged, record.id, record.address });
        if (restarted) {
            // What is known of the machine's agent does not depend on its upstream's start.
            known_upstream next;
            next.announcedService = known.announcedService;
            next.agentHeard = known.agentHeard;
            next.unansweredHellos = known.unansweredHellos;
            next.greetedAt = known.greetedAt;
            known = next;
        }
        if (added || restarted)
            known.heardAt = now;
        known.record = record;
        if (drains)
            known.record.phase = upstream_phase::draining;
        known.anyEntryDrains = listed.anyDrains;
        known.listed = true;
        known.seenInList = readAt;
        known.warmUpEndsAt = readAt + record.warmUpLeft;
        if (record.warmUpLeft > std::chrono::milliseconds::zero())
            known.warmUpEndsAt += warmUpMargin;
        known.inEvacuatedZone = std::ranges::binary_search(m_evacuatedZones, record.zone);
    }
    for (auto &[machine, known] : m_upstreams) {
        if (!known.listed || known.seenInList == readAt)
            continue;
        const bool mayReregister = m_outageEndedAt != base::time_point {}
                && now - m_outageEndedAt < reregistrationTime;
        if (mayReregister)
            continue;
        known.listed = false;
        known.removedAt = now;
        onChange({ change::removed, known.record.id, known.record.address });
    }
    boost::unordered::erase_if(m_upstreams, [&](const auto &item) {
        return !item.second.listed && now - item.second.removedAt > removedRetention;
    });
    m_unheardAgents = static_cast<std::size_t>(std::ranges::count_if(
            m_upstreams, [](const auto &item) { return !item.second.agentHeard; }));
    return true;
}

void upstream_directory::report(std::uint32_t machine, const load_report &report,
                                base::time_point now)
{
    known_upstream *known = find(machine);
    if (known == nullptr)
        return;
    known->report = report;
    known->reportedAt = now;
    if (now - known->capacityAt >= capacity_report::lifetime)
        known->capacity = {};
    known->assignedSinceReport = 0;
}

void upstream_directory::reportCapacity(std::uint32_t machine, const capacity_report &report,
                                        double coldRate, base::time_point now)
{
    known_upstream *known = find(machine);
    if (known == nullptr)
        return;
    known->capacity = report;
    known->capacityAt = now;
    known->assignedSinceCapacity = 0;
    known->share.update(report.openingRoom, coldRate);
}

void upstream_directory::setEvacuation(const zone_evacuation &evacuation, base::time_point now)
{
    if (evacuation.revision.era != m_evacuation.revision.era && !m_evacuatedZones.empty()) {
        m_restoredZones = m_evacuatedZones;
        // Lists of the new era may have come before its first set.
        m_restoredZonesUntil = m_outageEndedAt + reregistrationTime;
    }
    if (now >= m_restoredZonesUntil)
        m_restoredZones.clear();
    m_evacuation = evacuation;
    std::vector<std::string> kept;
    std::ranges::copy_if(m_evacuatedZones, std::back_inserter(kept),
                         [this](const std::string &zone) { return isAbsentFromList(zone); });
    std::vector<std::string> zones;
    std::ranges::set_union(m_evacuation.zones, m_restoredZones, std::back_inserter(zones));
    m_evacuatedZones.clear();
    std::ranges::set_union(zones, kept, std::back_inserter(m_evacuatedZones));
    for (auto &[machine, known] : m_upstreams)
        known.inEvacuatedZone = std::ranges::binary_search(m_evacuatedZones, known.record.zone);
}

bool upstream_directory::isAbsentFromList(std::string_view zone) const
{
    const auto isIn = [zone](const auto &item) { return item.second.record.zone == zone; };
    return std::ranges::any_of(m_upstreams, isIn)
            && std::ranges::none_of(m_upstreams, [&](const auto &item) {
                   return isIn(item) && item.second.seenInList == m_readAt;
               });
}

bool upstream_directory::hasEvacuated(std::string_view service) const
{
    return std::ranges::any_of(m_upstreams, [service](const auto &item) {
        return item.second.record.service == service && isEvacuated(item.second);
    });
}

bool upstream_directory::announce(std::uint32_t machine, std::uint32_t serviceDigest)
{
    known_upstream *known = find(machine);
    if (known == nullptr || known->announcedService == serviceDigest)
        return false;
    known->announcedService = serviceDigest;
    return flow::serviceDigest(known->record.service) != serviceDigest;
}

void upstream_directory::hear(std::uint32_t machine, base::time_point now)
{
    known_upstream *known = find(machine);
    if (known == nullptr)
        return;
    known->heardAt = now;
    m_heardAt = now;
    if (known->agentHeard)
        return;
    known->agentHeard = true;
    ++m_agentsFound;
    --m_unheardAgents;
}

void upstream_directory::greet(std::uint32_t machine, base::time_point now)
{
    known_upstream *known = find(machine);
    if (known == nullptr)
        return;
    known->greetedAt = now;
    known->unansweredHellos += known->agentHeard ? 0 : 1;
}

bool upstream_directory::anyUnheard(const upstream_filter &filter) const
{
    return m_unheardAgents > 0 && std::ranges::any_of(m_upstreams, [&](const auto &item) {
               return !item.second.agentHeard && filter(item.second);
           });
}

known_upstream *upstream_directory::find(std::uint32_t machine)
{
    const auto found = m_upstreams.find(machine);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const known_upstream *upstream_directory::find(std::uint32_t machine) const
{
    const auto found = m_upstreams.find(machine);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

bool upstream_directory::isEvacuated(const known_upstream &upstream)
{
    return upstream.inEvacuatedZone || upstream.capacity.evacuated;
}

bool upstream_directory::mayTakeFlows(const known_upstream &upstream)
{
    return upstream.listed && upstream.record.phase == upstream_phase::ready
            && !upstream.anyEntryDrains && !isEvacuated(upstream);
}

std::vector<known_upstream *> upstream_directory::eligible(std::string_view service)
{
    std::vector<known_upstream *> result;
    for (auto &[machine, known] : m_upstreams) {
        if (mayTakeFlows(known) && known.agentHeard && known.record.service == service)
            result.push_back(&known);
    }
    return result;
}

bool upstream_directory::isHeard(const known_upstream &upstream, base::time_point now)
{
    return upstream.reportedAt != base::time_point {} && now - upstream.reportedAt < agentTimeout;
}

std::vector<std::uint32_t> upstream_directory::possibleOwners(const upstream_filter &filter,
                                                              std::string_view zone,
                                                              base::time_point now) const
{
    std::vector<const known_upstream *> found;
    for (const auto &[machine, known] : m_upstreams) {
        if (filter(known))
            found.push_back(&known);
    }
    // An agent that is not heard does not answer, or does not exist: entries of other writers name
    // any address.
    const auto rank = [&](const known_upstream *known) {
        return std::tuple(!isHeard(*known, now), !known->listed, known->record.zone != zone);
    };
    std::ranges::stable_sort(found, {}, rank);
    std::vector<std::uint32_t> result(found.size());
    std::ranges::transform(found, result.begin(), &known_upstream::machine);
    return result;
}

bool upstream_directory::holdsNoFlows(std::uint32_t machine) const
{
    const known_upstream *known = find(machine);
    if (known == nullptr)
        return true;
    // Only silence while other agents are heard tells something about this one.
    const bool unreachable = m_heardAt - known->heardAt > agentTimeout || !known->report.responsive;
    return !known->listed && m_readAt - known->seenInList > unlistedTimeout && unreachable;
}

std::vector<std::uint32_t> upstream_directory::machines() const
{
    std::vector<std::uint32_t> result;
    result.reserve(m_upstreams.size());
    for (const auto &[machine, known] : m_upstreams)
        result.push_back(machine);
    return result;
}

} // namespace oriolehold::flow
