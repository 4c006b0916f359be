#pragma once

#include "internal/upstream_view.h"

#include <vector>

// Liveness of owners that authentic tokens name and the configuration in effect does not contain.

namespace oriolehold::core::internal {

// A table of fixed size; a newer agent replaces an older one with the same hash. The loss of an
// entry only delays its suspicion.
class unconfigured_agents
{
public:
    struct entry
    {
        endpoint agent;
        agent_liveness liveness;
    };

    unconfigured_agents() : m_entries(capacity) { }

    // The entry of the agent, made when absent.
    agent_liveness &at(const endpoint &agent)
    {
        entry &found = slot(agent);
        if (found.agent != agent)
            found = { agent, {} };
        return found.liveness;
    }

    // The entry of the agent, nullptr when absent.
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
