#include "internal/entry_selector.h"

#include <algorithm>

namespace oriolehold::core::internal {

void entry_selector::configure(std::span<const entry_instance> entries)
{
    m_entries.clear();
    for (const entry_instance &entry : entries)
        m_entries.push_back(entry.address);
    std::erase_if(m_lastHeard, [this](const auto &item) {
        return std::ranges::find(m_entries, item.first) == m_entries.end();
    });
}

void entry_selector::observe(const endpoint &entry, time_point now)
{
    const auto found = m_lastHeard.find(entry);
    if (found != m_lastHeard.end())
        found->second = now;
    else if (std::ranges::find(m_entries, entry) != m_entries.end())
        m_lastHeard.emplace(entry, now);
}

endpoint entry_selector::choose(const endpoint &preferred, time_point now)
{
    return isSilent(preferred, now) ? chooseOther(preferred, now) : preferred;
}

endpoint entry_selector::chooseOther(const endpoint &former, time_point now)
{
    const auto pick = [&](auto &&accepts) {
        const auto count = std::ranges::count_if(m_entries, accepts);
        if (count == 0)
            return former;
        auto skip = m_random.below(static_cast<std::uint64_t>(count));
        return *std::ranges::find_if(
                m_entries, [&](const endpoint &entry) { return accepts(entry) && skip-- == 0; });
    };
    const endpoint heard =
            pick([&](const endpoint &entry) { return entry != former && !isSilent(entry, now); });
    return heard != former ? heard : pick([&](const endpoint &entry) { return entry != former; });
}

bool entry_selector::isSilent(const endpoint &entry, time_point now) const
{
    const auto found = m_lastHeard.find(entry);
    return found == m_lastHeard.end() || now - found->second >= m_entrySilence;
}

} // namespace oriolehold::core::internal
