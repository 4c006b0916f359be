#pragma once

#include "oriolehold/core/configuration.h"

#include <optional>
#include <unordered_map>

// Chooses the entry instance that delivers a message to a caller.

namespace oriolehold::core::internal {

class entry_selector
{
public:
    // random must outlive the selector.
    entry_selector(duration entryTimeout, random_source &random)
        : m_entryTimeout(entryTimeout), m_random(random)
    { }

    void configure(std::span<const entry_instance> entries);
    void observe(const endpoint &entry, time_point now);

    // Returns preferred, or another entry if preferred has been silent for entryTimeout.
    endpoint choose(const endpoint &preferred, time_point now);
    // Returns an entry other than excluded if there is one, one that is not silent or else the one
    // of the sample that was heard last.
    endpoint chooseOther(const endpoint &excluded, time_point now);

private:
    // time_point::min() if the entry was never heard.
    time_point lastReceived(const endpoint &entry) const;
    bool isSilent(const endpoint &entry, time_point now) const;

    duration m_entryTimeout;
    random_source &m_random;
    std::vector<endpoint> m_entries;
    std::unordered_map<endpoint, time_point, endpoint_hash> m_lastReceived;
};

} // namespace oriolehold::core::internal
