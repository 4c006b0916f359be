#include "simulated_store.h"

#include <algorithm>

namespace oriolehold::flow {

void simulated_store::beginChange(base::time_point now)
{
    m_copies.emplace_back(now, m_content);
    std::erase_if(m_copies, [now](const auto &copy) { return now - copy.first > copyRetention; });
    ++m_content.revision;
}

void simulated_store::put(const upstream_record &record, base::time_point now)
{
    const auto found = m_content.upstreams.find(record.id);
    if (found != m_content.upstreams.end() && found->second == record)
        return;
    beginChange(now);
    m_content.upstreams[record.id] = record;
}

void simulated_store::remove(const std::string &id, base::time_point now)
{
    if (!contains(id))
        return;
    beginChange(now);
    m_content.upstreams.erase(id);
}

void simulated_store::publish(const flow_configuration &configuration, base::time_point now)
{
    if (configuration == m_content.configuration)
        return;
    beginChange(now);
    m_content.configuration = configuration;
    m_content.configurationRevision = m_content.revision;
}

void simulated_store::evacuate(const std::set<std::string> &zones, base::time_point now)
{
    if (zones == m_content.evacuatedZones)
        return;
    beginChange(now);
    m_content.evacuatedZones = zones;
}

zone_evacuation simulated_store::evacuation() const
{
    return { revision(), { m_content.evacuatedZones.begin(), m_content.evacuatedZones.end() } };
}

std::vector<std::string> simulated_store::ids() const
{
    std::vector<std::string> result;
    for (const auto &[id, record] : m_content.upstreams)
        result.push_back(id);
    return result;
}

upstream_list simulated_store::upstreams() const
{
    upstream_list list;
    list.revision = revision();
    for (const auto &[id, record] : m_content.upstreams)
        list.upstreams.push_back(record);
    return list;
}

simulated_store::watch_result simulated_store::watchConfiguration(std::uint64_t after) const
{
    if (after > m_content.revision)
        return watch_result::historyLost;
    return m_content.configurationRevision > after ? watch_result::changed
                                                   : watch_result::unchanged;
}

base::time_point simulated_store::timeBeforeChange(std::size_t laterChanges) const
{
    const std::size_t count = std::min(laterChanges + 1, m_copies.size());
    return m_copies[m_copies.size() - count].first - base::duration { 1 };
}

void simulated_store::restore(base::time_point time, base::time_point now)
{
    const auto copy =
            std::ranges::find_if(m_copies, [time](const auto &item) { return item.first > time; });
    if (copy != m_copies.end()) {
        const content former = copy->second;
        m_copies.emplace_back(now, m_content);
        m_content = former;
    }
    ++m_era;
}

std::optional<flow_configuration>
simulated_store_reader::readConfiguration(const simulated_store &store)
{
    using result = simulated_store::watch_result;
    const std::optional<std::uint64_t> after = m_cursor.watchAfter();
    if (after && store.watchConfiguration(*after) == result::unchanged
        && m_cursor.unchangedUntil(store.revision()))
        return std::nullopt;
    m_cursor.documentRead(store.revision());
    return store.configuration();
}

} // namespace oriolehold::flow
