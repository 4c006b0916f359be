#include "oriolehold/flow/request_gate.h"

#include <algorithm>
#include <tuple>

namespace oriolehold::flow {

void request_gate::hold(const flow_key &key, const request_terms &terms, std::uint32_t sequence,
                        base::byte_view packet, base::time_point now)
{
    const auto [item, added] = m_held.try_emplace(key);
    held_request &request = item->second;
    if (added) {
        request.terms = terms;
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
    // Those that can still be answered in time first, of these the urgent, of these the newest.
    const auto rank = [now](const auto &item) {
        const held_request &request = item.second;
        return std::tuple(request.terms.inTimeUntil < now, request.terms.priority,
                          -request.since.time_since_epoch().count());
    };
    while (!m_held.empty()) {
        auto chosen = std::ranges::min_element(m_held, {}, rank);
        if (running() >= m_slots + allowance) {
            chosen = std::ranges::min_element(m_held, {}, passAt);
            if (now < passAt(*chosen))
                return;
        }
        const flow_key key = chosen->first;
        const held_request request = std::move(chosen->second);
        m_held.erase(chosen);
        onRelease(key, { request.terms.priority, now - request.since }, request.packets);
    }
}

base::time_point request_gate::next() const
{
    if (m_held.empty())
        return base::time_point::max();
    return passAt(*std::ranges::min_element(m_held, {}, passAt));
}

} // namespace oriolehold::flow
