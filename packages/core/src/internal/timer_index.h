#pragma once

#include "oriolehold/core/types.h"

#include <optional>
#include <set>
#include <unordered_map>

// Points in time by key, at most one per key, and the earliest of them.

namespace oriolehold::core::internal {

inline constexpr time_point never = time_point::max();

template<typename Key, typename Hash = std::hash<Key>>
class timer_index
{
public:
    // Replaces the previous time of the key.
    void set(const Key &key, time_point time)
    {
        cancel(key);
        m_times.emplace(key, time);
        m_order.emplace(time, key);
    }

    void cancel(const Key &key)
    {
        const auto found = m_times.find(key);
        if (found == m_times.end())
            return;
        m_order.erase({ found->second, key });
        m_times.erase(found);
    }

    time_point next() const { return m_order.empty() ? never : m_order.begin()->first; }

    // Removes and returns the earliest key that is due.
    std::optional<Key> popDue(time_point now)
    {
        if (next() > now)
            return std::nullopt;
        const Key key = m_order.begin()->second;
        cancel(key);
        return key;
    }

private:
    std::unordered_map<Key, time_point, Hash> m_times;
    std::set<std::pair<time_point, Key>> m_order;
};

} // namespace oriolehold::core::internal
