#include "oriolehold/flow/request_gate.h"

#include <algorithm>
#include <tuple>

namespace oriolehold::flow {

void request_gate::hold(const flow_key &key, std::uint8_t priority, std::uint32_t sequence,
                        base::byte_view packet, base::time_point now)
{
    const auto [item, added] = m_held.try_emplace(key);
    held_request &request = item->second;
    if (added) {
        request.priority = priority;
        request.since = now;
    }
    if (request.packets.size() == maxPackets
        || std::ranges::find(request.sequences, sequence) != request.sequences.end())
        return;
    request.sequences.push_back(sequence);
    request.packets.emplace_back(packet.begin(), packet.end());
}

void request_gate::release(base::time_point now, const std::function<std::uint32_t()> &running,
                           const released &onRelease)
{
    // Urgent first, then the newest.
    const auto rank = [](const auto &item) {
        return std::tuple(item.second.priority, -item.second.since.time_since_epoch().count());
    };
    while (!m_held.empty()) {
        auto chosen = std::ranges::min_element(m_held, {}, rank);
        if (running() >= m_slots + allowance) {
            chosen = std::ranges::min_element(m_held, {},
                                              [](const auto &item) { return item.second.since; });
            if (now - chosen->second.since < maxHold)
                return;
        }
        const flow_key key = chosen->first;
        const held_request request = std::move(chosen->second);
        m_held.erase(chosen);
        onRelease(key, { request.priority, now - request.since }, request.packets);
    }
}

base::time_point request_gate::next() const
{
    if (m_held.empty())
        return base::time_point::max();
    const auto oldest = std::ranges::min_element(
            m_held, {}, [](const auto &item) { return item.second.since; });
    return oldest->second.since + maxHold;
}

} // namespace oriolehold::flow
