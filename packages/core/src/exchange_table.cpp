#include "internal/exchange_table.h"

#include "internal/message_timing.h"

#include <algorithm>
#include <utility>

namespace oriolehold::core::internal {

std::optional<exchange_id> exchange_table::findDuplicate(const message_key &key, byte_view token,
                                                         std::uint64_t packetDigest) const
{
    const auto [begin, end] = m_byMessage.equal_range(key);
    const auto found = std::find_if(begin, end, [&](const auto &item) {
        const exchange &candidate = m_exchanges.at(toInteger(item.second));
        return candidate.packetDigest == packetDigest && std::ranges::equal(candidate.token, token);
    });
    return found == end ? std::nullopt : std::optional(found->second);
}

std::optional<exchange_id> exchange_table::findOpen(const message_key &key) const
{
    std::optional<exchange_id> newest;
    const auto [begin, end] = m_byMessage.equal_range(key);
    std::for_each(begin, end, [&](const auto &item) {
        if (m_exchanges.at(toInteger(item.second)).state != exchange_state::answered)
            newest = std::max(newest.value_or(item.second), item.second);
    });
    return newest;
}

exchange_id exchange_table::add(exchange value)
{
    const exchange_id id { ++m_lastId };
    m_byMessage.emplace(message_key { value.caller, value.messageId }, id);
    m_exchanges.emplace(m_lastId, std::move(value));
    m_byReceipt.push_back(id);
    ++m_open;
    return id;
}

exchange *exchange_table::find(exchange_id id)
{
    const auto found = m_exchanges.find(toInteger(id));
    return found == m_exchanges.end() ? nullptr : &found->second;
}

void exchange_table::setReply(exchange_id id, byte_vector reply)
{
    exchange *value = find(id);
    if (value == nullptr || value->state == exchange_state::answered)
        return;
    m_replyBytes += reply.size();
    value->reply = std::move(reply);
    value->state = exchange_state::answered;
    --m_open;
}

void exchange_table::expire(time_point now)
{
    // Unanswered exchanges are kept: the queue and the open feeds bound their number.
    std::size_t remaining = m_byReceipt.size();
    while (remaining-- > 0) {
        const exchange_id id = m_byReceipt.front();
        const exchange &oldest = m_exchanges.at(toInteger(id));
        const bool overLimit = m_exchanges.size() > m_options.maxExchanges
                || m_replyBytes > m_options.maxReplyBytes;
        if (!overLimit && now - oldest.received < exchangeLifetime)
            return;
        m_byReceipt.pop_front();
        if (oldest.state == exchange_state::answered)
            erase(id);
        else
            m_byReceipt.push_back(id);
    }
}

void exchange_table::erase(exchange_id id)
{
    const auto found = m_exchanges.find(toInteger(id));
    m_replyBytes -= found->second.reply.size();
    const auto [begin, end] =
            m_byMessage.equal_range({ found->second.caller, found->second.messageId });
    m_byMessage.erase(
            std::find_if(begin, end, [id](const auto &item) { return item.second == id; }));
    m_exchanges.erase(found);
}

} // namespace oriolehold::core::internal
