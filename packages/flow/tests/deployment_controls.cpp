#include "deployment_parts.h"

#include <algorithm>

// Evacuations of zones in deployment_simulation.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;

// After the store's acknowledgement, an upstream of an evacuated zone gets no opening packet.
constexpr base::duration evacuationLimit = 5s;
// In normal operation all entry instances have the evacuated zones.
constexpr base::duration evacuationTarget = 1500ms;
// Opening packets that were sent before an entry instance learned of an evacuation have arrived.
constexpr base::duration travelTime = 500ms;

} // namespace

void deployment_simulation::changeEvacuationAtTimes()
{
    // Zones begin and end alone, together, one after the other and again within a second.
    const std::size_t index = m_controlRandom.below(zoneNames.size());
    for (std::size_t i = m_controlRandom.below(3); i < 3; ++i)
        schedule(randomDuration(m_controlRandom, 0ms, 1s),
                 [this, zone = zoneNames[i == 0 ? 1 - index : index],
                  evacuated = m_controlRandom.below(2) == 0] {
                     m_evacuationKeys.erase(std::string(zone));
                     if (evacuated)
                         m_evacuationKeys.insert(std::string(zone));
                     writeEvacuation();
                 });
    schedule(randomDuration(m_controlRandom, 500ms, 5s), [this] { changeEvacuationAtTimes(); });
}

void deployment_simulation::writeEvacuation()
{
    whenStoreIsUp([this] {
        m_store.evacuate(m_evacuationKeys, m_now);
        for (std::size_t i = 0; i < zoneNames.size(); ++i) {
            const bool evacuated = m_evacuationKeys.contains(std::string(zoneNames[i]));
            m_zones[i].writtenAt = m_store.revision();
            if (std::exchange(m_zones[i].evacuated, evacuated) == evacuated)
                continue;
            m_zones[i].changedAt = m_now;
            std::ranges::for_each(m_entries, [i](auto &item) { item->learnedAt[i].reset(); });
        }
    });
}

void deployment_simulation::checkEvacuation(const upstream &item, std::size_t entryIndex)
{
    const zone_state &zone = m_zones[item.zone];
    if (!zone.evacuated || m_now - zone.changedAt <= evacuationLimit)
        return;
    // An entry instance that has learned of the evacuation must not forget it.
    const auto &learnedAt = m_entries[entryIndex]->learnedAt[item.zone];
    const bool remembers = learnedAt && m_now - *learnedAt > travelTime
            && m_now - item.disruptedUntil >= recoveryTime;
    if (remembers || calmSince(m_now, entryIndex, item))
        reportViolation("an upstream of an evacuated zone got an opening packet");
}

void deployment_simulation::checkEvacuatedZones()
{
    for (std::size_t index = 0; index < m_entries.size() && m_controls.evacuation; ++index) {
        entry &item = *m_entries[index];
        const auto calmWith = [&](const auto &other) { return calmSince(m_now, index, *other); };
        const bool calm = std::max(item.startedAt, m_evacuationReadFailedAt) + recoveryTime <= m_now
                && std::ranges::all_of(m_upstreams, calmWith);
        const std::vector<std::string> &zones = item.balancer->directory().evacuatedZones();
        const store_revision readAt = item.balancer->view().upstreams().evacuation.revision;
        for (std::size_t i = 0; i < zoneNames.size(); ++i) {
            const zone_state &zone = m_zones[i];
            const bool has = std::ranges::binary_search(zones, std::string(zoneNames[i]));
            if (has && zone.evacuated && readAt >= zone.writtenAt && !item.learnedAt[i])
                item.learnedAt[i] = m_now;
            if (!calm || m_now - zone.changedAt <= evacuationTarget)
                continue;
            ++m_counts.judgedSets;
            if (has != zone.evacuated)
                reportViolation(
                        "the evacuated zones of an entry instance are not those of the store");
        }
    }
}

std::chrono::milliseconds deployment_simulation::warmUpLeft(std::uint64_t born) const
{
    if (!m_controls.coldLimits)
        return 0ms;
    const std::chrono::milliseconds age { unixMilliseconds(m_now) - born };
    return std::max(m_configuration.warmUps.front().duration - age, 0ms);
}

void deployment_simulation::checkColdLimit(upstream &item)
{
    if (warmUpLeft(item.born) <= 0ms)
        return;
    item.coldOpenings.push_back(m_now);
    while (m_now - item.coldOpenings.front() >= 1s)
        item.coldOpenings.pop_front();
    const double rate = m_configuration.warmUps.front().requestsPerSecond;
    if (static_cast<double>(item.coldOpenings.size())
        > rate * coldBounds.overage + coldBounds.slack)
        reportViolation("a cold upstream got too many opening packets in a second");
}

void deployment_simulation::slowAllAtTimes()
{
    schedule(randomDuration(m_controlRandom, 2s, 6s), [this] {
        for (const auto &item : m_upstreams) {
            item->busyUntil = m_now + randomDuration(m_controlRandom, 1s, 4s);
            item->busyFactor = static_cast<unsigned>(10 + m_controlRandom.below(20));
        }
        slowAllAtTimes();
    });
}

} // namespace oriolehold::flow
