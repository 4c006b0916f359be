#include "internal/message_id_allocator.h"

#include "internal/message_timing.h"

#include <algorithm>

namespace oriolehold::core::internal {

namespace {

constexpr int sequenceCount = 256;
// Messages that may be sent at once. The remaining sequence numbers are spread over the exchange
// lifetime, so that a burst and the steady rate together never use more numbers than exist.
constexpr int maxBurst = 16;
constexpr duration steadyInterval = duration { exchangeLifetime } / (sequenceCount - maxBurst);

} // namespace

std::uint16_t message_id_allocator::allocate(const endpoint &caller, time_point now,
                                             const std::function<bool(std::uint16_t)> &isUsed)
{
    const auto [found, inserted] = m_sequences.try_emplace(caller);
    sequence &item = found->second;
    if (inserted) {
        // Starts at random, because a previous incarnation may have used the first numbers.
        item.next = static_cast<std::uint8_t>(m_random.below(sequenceCount));
        item.budgetFullAt = now;
        m_expiry.emplace_back(now + exchangeLifetime, caller);
    }
    item.lastUse = now;
    item.budgetFullAt = std::max(item.budgetFullAt, now) + steadyInterval;
    auto messageId = static_cast<std::uint16_t>(m_index << 8 | item.next++);
    for (int i = 1; i < sequenceCount && isUsed(messageId); ++i)
        messageId = static_cast<std::uint16_t>(m_index << 8 | item.next++);
    return messageId;
}

time_point message_id_allocator::nextSendTime(const endpoint &caller) const
{
    const auto found = m_sequences.find(caller);
    if (found == m_sequences.end())
        return time_point::min();
    return found->second.budgetFullAt - (maxBurst - 1) * steadyInterval;
}

void message_id_allocator::expire(time_point now)
{
    while (!m_expiry.empty() && m_expiry.front().first <= now) {
        const endpoint caller = m_expiry.front().second;
        m_expiry.pop_front();
        const auto found = m_sequences.find(caller);
        if (found == m_sequences.end())
            continue;
        const time_point expiry = found->second.lastUse + exchangeLifetime;
        if (expiry <= now)
            m_sequences.erase(found);
        else
            m_expiry.emplace_back(now + exchangeLifetime, caller);
    }
}

} // namespace oriolehold::core::internal
