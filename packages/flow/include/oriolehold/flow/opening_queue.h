#pragma once

#include "oriolehold/flow/packet.h"

#include <optional>
#include <vector>

// Opening packets that wait at an agent until its upstream may get another one.

namespace oriolehold::flow {

struct waiting_opening
{
    flow_key key;
    base::endpoint entry;      // that sent it
    std::uint8_t priority = 0; // 0 is the most urgent
    base::time_point since {};
    base::time_point startBy {}; // passed on later, its first request misses its objective
    base::byte_vector packet;
};

class opening_queue
{
public:
    static constexpr std::chrono::milliseconds maxWait { 100 };

    bool empty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }
    bool holds(const flow_key &key) const;
    // Adds a packet. If more than places wait then, returns the least urgent one, of these the
    // newest, which does not wait any more.
    std::optional<waiting_opening> add(waiting_opening item, std::size_t places);
    // Removes the most urgent packet, of these the oldest.
    std::optional<waiting_opening> take();
    // Removes a packet that has waited for maxWait or is too late for its objective.
    std::optional<waiting_opening> takeExpired(base::time_point now);
    // When the next packet expires; the maximum time when none waits.
    base::time_point nextExpiry() const;

private:
    std::vector<waiting_opening> m_waiting; // the most urgent first, of these the oldest
};

} // namespace oriolehold::flow
