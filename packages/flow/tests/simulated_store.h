#pragma once

#include "oriolehold/flow/history_cursor.h"
#include "oriolehold/flow/routing_view.h"

#include <map>
#include <set>
#include <vector>

namespace oriolehold::flow {

// The store of the platform in memory. It can be restored from a copy of its former content; then
// the revisions after the copy are given out again.
class simulated_store
{
public:
    enum class watch_result {
        unchanged,
        changed,
        historyLost, // the revision to watch after is above the store's
    };

    // Writers. An entry that is written again without a change keeps its revision.
    void put(const upstream_record &record, base::time_point now);
    void remove(const std::string &id, base::time_point now);
    void publish(const flow_configuration &configuration, base::time_point now);
    // Replaces the names of the evacuated zones.
    void evacuate(const std::set<std::string> &zones, base::time_point now);

    // Whether there is an entry with the ID.
    bool contains(const std::string &id) const { return m_content.upstreams.contains(id); }
    std::vector<std::string> ids() const;
    upstream_list upstreams() const;
    const flow_configuration &configuration() const { return m_content.configuration; }
    store_revision revision() const { return { m_era, m_content.revision }; }
    zone_evacuation evacuation() const;
    // Watches the configuration after a revision, without a wait.
    watch_result watchConfiguration(std::uint64_t after) const;

    // Restores the content of the given time and begins a new era. The copies reach back for
    // copyRetention.
    void restore(base::time_point time, base::time_point now);
    // Latest time before the last change, or before an earlier one.
    base::time_point timeBeforeChange(std::size_t laterChanges) const;
    static constexpr std::chrono::seconds copyRetention { 20 };

private:
    struct content
    {
        std::uint64_t revision = 1;
        std::map<std::string, upstream_record> upstreams; // by ID
        flow_configuration configuration;
        std::uint64_t configurationRevision = 1;
        std::set<std::string> evacuatedZones;
    };

    // Keeps a copy of the content before a change.
    void beginChange(base::time_point now);

    std::uint64_t m_era = 1;
    content m_content;
    // Former contents and the time until which each was present, oldest first.
    std::vector<std::pair<base::time_point, content>> m_copies;
};

// Reads a simulated_store as the client of the platform's store does: the configuration in full
// only when a watch does not prove that it is unchanged.
class simulated_store_reader
{
public:
    // Returns an empty optional when the configuration is the one that the last call returned.
    std::optional<flow_configuration> readConfiguration(const simulated_store &store);

private:
    history_cursor m_cursor;
};

} // namespace oriolehold::flow
