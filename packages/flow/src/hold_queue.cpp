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

hold_queue::held_map::iterator hold_queue::choose(base::time_point now)
{
    const auto isLate = [now](const auto &item) { return item.second.constraints.startBy < now; };
    // First those that can still meet their objective, then the most urgent, then the newest. Under
    // overload control the queue is short, and those that can meet it safely go in the order of
    // their times.
    const auto rank = [&](const auto &item) {
        const held_request &request = item.second;
        const bool isSafe = m_controlled && request.constraints.safeBy >= now;
        return std::tuple(isLate(item), request.constraints.priority, !isSafe,
                          isSafe ? request.constraints.safeBy.time_since_epoch().count()
                                 : -request.since.time_since_epoch().count());
    };
    const auto first = std::ranges::min_element(m_held, {}, rank);
    if (!m_controlled || isLate(*first))
        return first;
    const std::uint8_t urgent = first->second.constraints.priority;
    const auto lessUrgentRank = [&](const auto &item) {
        return std::tuple(item.second.constraints.priority == urgent, rank(item));
    };
    const auto other = std::ranges::min_element(m_held, {}, lessUrgentRank);
    if (isLate(*other) || other->second.constraints.priority == urgent)
        return first;
    if (++m_passedOver < releasesPerLessUrgent)
        return first;
    m_passedOver = 0;
    return other;
}

void hold_queue::release(base::time_point now, const std::function<std::uint32_t()> &running,
                         const release_handler &onRelease)
{
    while (!m_held.empty()) {
        if (hasRoom(running())) {
            releaseItem(choose(now), now, onRelease);
            continue;
        }
        const auto next = std::ranges::min_element(m_held, {}, releaseBy);
        if (m_controlled || now < releaseBy(*next))
            return;
        releaseItem(next, now, onRelease);
    }
}

std::size_t hold_queue::heldInTime(std::uint8_t priority, base::time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_held, [&](const auto &item) {
        const request_constraints &constraints = item.second.constraints;
        return constraints.priority <= priority && constraints.safeBy >= now;
    }));
}

void hold_queue::dropExpired(base::time_point now,
                             const std::function<void(const flow_key &)> &onDrop)
{
    if (!m_controlled)
        return;
    boost::unordered::erase_if(m_held, [&](const auto &item) {
        const bool expired = item.second.constraints.expiresAt <= now;
        if (expired)
            onDrop(item.first);
        return expired;
    });
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
    onRelease(key,
              { request.constraints.priority, now - request.since,
                request.constraints.startBy < now },
              request.packets);
}

base::time_point hold_queue::next() const
{
    if (m_held.empty())
        return base::time_point::max();
    const auto due = [this](const auto &item) { return dueAt(item); };
    return due(*std::ranges::min_element(m_held, {}, due));
}

} // namespace oriolehold::flow
