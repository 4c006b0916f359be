#pragma once

#include "internal/upstream_view.h"

#include <vector>

// Liveness of owners that are named by authentic tokens but missing in the current configuration.

namespace oriolehold::core::internal {

// A table of fixed size; a newer agent replaces an older one with the same hash. An agent that was
// replaced is only detected as suspect later.
class unconfigured_agents
{
public:
    struct entry
    {
        endpoint agent;
        agent_liveness liveness;
    };

    unconfigured_agents() : m_entries(capacity) { }

    // Returns the entry of the agent, created if absent.
    agent_liveness &at(const endpoint &agent)
    {
        entry &found = slot(agent);
        if (found.agent != agent)
            found = { agent, {} };
        return found.liveness;
    }

    // Returns the entry of the agent, nullptr if absent.
    agent_liveness *find(const endpoint &agent)
    {
        entry &found = slot(agent);
        return found.agent == agent ? &found.liveness : nullptr;
    }

    std::span<entry> entries() { return m_entries; }

private:
    static constexpr std::size_t capacity = 256;

    entry &slot(const endpoint &agent) { return m_entries[endpoint_hash()(agent) % capacity]; }

    std::vector<entry> m_entries;
};

} // namespace oriolehold::core::internal
