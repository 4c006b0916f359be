#include "internal/entry_selector.h"

#include <algorithm>

namespace oriolehold::core::internal {

namespace {

// Maximum number of entries sampled per delivery. Bounds the cost with hundreds of entries; with
// two entries, the probability of missing the other one is 2^-32.
constexpr int maxSamples = 32;
// Bounds the table of receive times: an entry may forward packets before it is in the configuration
// of this agent.
constexpr std::size_t maxEntries = 4096;

} // namespace

void entry_selector::configure(std::span<const entry_instance> entries)
{
    m_entries.clear();
    for (const entry_instance &entry : entries)
        m_entries.push_back(entry.address);
    std::erase_if(m_lastReceived, [this](const auto &item) {
        return std::ranges::find(m_entries, item.first) == m_entries.end();
    });
}

void entry_selector::observe(const endpoint &entry, time_point now)
{
    const auto found = m_lastReceived.find(entry);
    if (found != m_lastReceived.end())
        found->second = now;
    else if (m_lastReceived.size() < maxEntries)
        m_lastReceived.emplace(entry, now);
}

endpoint entry_selector::choose(const endpoint &preferred, time_point now)
{
    return isSilent(preferred, now) ? chooseOther(preferred, now) : preferred;
}

endpoint entry_selector::chooseOther(const endpoint &excluded, time_point now)
{
    if (m_entries.empty())
        return excluded;
    // With hundreds of entries most are silent, because each probes an agent rarely. The one that
    // was heard last is the least likely to be dead.
    std::optional<endpoint> silent;
    time_point silentSince;
    for (int i = 0; i < maxSamples; ++i) {
        const endpoint &candidate = m_entries[m_random.below(m_entries.size())];
        if (candidate == excluded)
            continue;
        if (!isSilent(candidate, now))
            return candidate;
        const time_point received = lastReceived(candidate);
        if (!silent || received > silentSince) {
            silent = candidate;
            silentSince = received;
        }
    }
    return silent.value_or(excluded);
}

time_point entry_selector::lastReceived(const endpoint &entry) const
{
    const auto found = m_lastReceived.find(entry);
    return found == m_lastReceived.end() ? time_point::min() : found->second;
}

bool entry_selector::isSilent(const endpoint &entry, time_point now) const
{
    const auto found = m_lastReceived.find(entry);
    return found == m_lastReceived.end() || now - found->second >= m_entryTimeout;
}

} // namespace oriolehold::core::internal
