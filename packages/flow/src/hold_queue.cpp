#include "oriolehold/flow/hold_queue.h"

#include <algorithm>
#include <tuple>

namespace oriolehold::flow {

void hold_queue::hold(const flow_key &key, const request_constraints &constraints,
                      std::uint32_t sequence, base::byte_view packet, base::time_point now)
{
    const auto [item, added] = m_held.try_emplace(key);
    held_request &request = item->second;
    if (added) {
        request.constraints = constraints;
        request.since = now;
    }
    if (request.packets.size() == maxPackets
        || std::ranges::find(request.sequences, sequence) != request.sequences.end())
        return;
    request.sequences.push_back(sequence);
    request.packets.emplace_back(packet.begin(), packet.end());
}

void hold_queue::release(base::time_point now, const std::function<std::uint32_t()> &running,
                         const release_handler &onRelease)
{
    // First those that can still meet their objective, then the most urgent, then the newest.
    const auto rank = [now](const auto &item) {
        const held_request &request = item.second;
        return std::tuple(request.constraints.startBy < now, request.constraints.priority,
                          -request.since.time_since_epoch().count());
    };
    while (!m_held.empty()) {
        auto chosen = std::ranges::min_element(m_held, {}, rank);
        if (!hasRoom(running())) {
            chosen = std::ranges::min_element(m_held, {}, releaseBy);
            if (now < releaseBy(*chosen))
                return;
        }
        releaseItem(chosen, now, onRelease);
    }
}

void hold_queue::releaseFlow(const flow_key &key, base::time_point now,
                             const release_handler &onRelease)
{
    if (const auto found = m_held.find(key); found != m_held.end())
        releaseItem(found, now, onRelease);
}

void hold_queue::releaseItem(held_map::iterator item, base::time_point now,
                             const release_handler &onRelease)
{
    const flow_key key = item->first;
    const held_request request = std::move(item->second);
    m_held.erase(item);
    onRelease(key, { request.constraints.priority, now - request.since }, request.packets);
}

base::time_point hold_queue::next() const
{
    if (m_held.empty())
        return base::time_point::max();
    return releaseBy(*std::ranges::min_element(m_held, {}, releaseBy));
}

} // namespace oriolehold::flow
