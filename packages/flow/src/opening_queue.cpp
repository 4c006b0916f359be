#include "oriolehold/flow/opening_queue.h"

#include <algorithm>
#include <utility>

namespace oriolehold::flow {

namespace {

base::time_point expiryOf(const waiting_opening &item)
{
    return std::min<base::time_point>(item.startBy, item.since + opening_queue::maxWait);
}

} // namespace

bool opening_queue::holds(const flow_key &key) const
{
    return std::ranges::find(m_waiting, key, &waiting_opening::key) != m_waiting.end();
}

std::optional<waiting_opening> opening_queue::add(waiting_opening item, std::size_t places)
{
    const auto position =
            std::ranges::upper_bound(m_waiting, item.priority, {}, &waiting_opening::priority);
    m_waiting.insert(position, std::move(item));
    if (m_waiting.size() <= places)
        return std::nullopt;
    waiting_opening last = std::move(m_waiting.back());
    m_waiting.pop_back();
    return last;
}

std::optional<waiting_opening> opening_queue::take()
{
    if (m_waiting.empty())
        return std::nullopt;
    waiting_opening first = std::move(m_waiting.front());
    m_waiting.erase(m_waiting.begin());
    return first;
}

std::optional<waiting_opening> opening_queue::takeExpired(base::time_point now)
{
    const auto found = std::ranges::find_if(
            m_waiting, [now](const waiting_opening &item) { return expiryOf(item) <= now; });
    if (found == m_waiting.end())
        return std::nullopt;
    waiting_opening expired = std::move(*found);
    m_waiting.erase(found);
    return expired;
}

base::time_point opening_queue::nextExpiry() const
{
    const auto first = std::ranges::min_element(m_waiting, {}, expiryOf);
    return first == m_waiting.end() ? base::time_point::max() : expiryOf(*first);
}

} // namespace oriolehold::flow
