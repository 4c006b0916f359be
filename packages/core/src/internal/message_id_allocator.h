#pragma once

#include "oriolehold/core/types.h"

#include <deque>
#include <functional>
#include <unordered_map>

// Message IDs of the agent's own messages: index << 8 | sequence, with one sequence per caller
// endpoint.

namespace oriolehold::core::internal {

class message_id_allocator
{
public:
    // random must outlive the allocator.
    explicit message_id_allocator(random_source &random) : m_random(random) { }

    void setIndex(std::uint8_t index) { m_index = index; }
    // Next message ID for which isUsed(messageId) is false, if there is one.
    std::uint16_t allocate(const endpoint &caller, time_point now,
                           const std::function<bool(std::uint16_t)> &isUsed);
    // Earliest time at which a message can be sent to the caller without reusing a message ID
    // within the exchange lifetime. Responses may be sent before it, notifications wait.
    time_point nextSendTime(const endpoint &caller) const;
    void expire(time_point now);

private:
    struct sequence
    {
        std::uint8_t next = 0;
        time_point budgetFullAt; // time at which a full burst is available again
        time_point lastUse;
    };

    random_source &m_random;
    std::uint8_t m_index = 0;
    std::unordered_map<endpoint, sequence, endpoint_hash> m_sequences;
    std::deque<std::pair<time_point, endpoint>> m_expiry; // time of the next check of lastUse
};

} // namespace oriolehold::core::internal
