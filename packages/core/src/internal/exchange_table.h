#pragma once

#include "internal/message_key.h"
#include "oriolehold/coap/message.h"

#include <deque>
#include <optional>
#include <unordered_map>

// Table of recently received requests, used to detect duplicate packets.

namespace oriolehold::core::internal {

enum class exchange_id : std::uint64_t {};

enum class exchange_state : std::uint8_t {
    pending,      // nothing was sent
    acknowledged, // an empty ACK was sent
    answered,
};

struct exchange
{
    endpoint entry; // that forwarded the latest of the equal packets
    endpoint caller;
    service_id service {};
    coap::message_type type = coap::message_type::confirmable;
    std::uint16_t messageId = 0;
    byte_vector token;
    std::uint64_t packetDigest = 0;
    time_point received;
    exchange_state state = exchange_state::pending;
    byte_vector reply;                           // bytes of the response once answered
    std::optional<std::uint16_t> replyMessageId; // of a separate response
};

struct exchange_table_options
{
    std::size_t maxExchanges = 65'536;
    std::size_t maxReplyBytes = 32u << 20;
};

class exchange_table
{
public:
    explicit exchange_table(exchange_table_options options = {}) : m_options(options) { }

    // The exchange of an equal packet. The digest distinguishes a duplicate from a new request of a
    // restarted caller that happens to use the same message ID and token.
    std::optional<exchange_id> findDuplicate(const message_key &key, byte_view token,
                                             std::uint64_t packetDigest) const;
    // The newest unanswered exchange with this message ID.
    std::optional<exchange_id> findOpen(const message_key &key) const;

    exchange_id add(exchange value);
    // nullptr when the exchange has expired.
    exchange *find(exchange_id id);
    void setReply(exchange_id id, byte_vector reply);
    void expire(time_point now);
    // Whether an exchange is not answered yet.
    bool hasOpen() const { return m_open > 0; }
    std::size_t size() const { return m_exchanges.size(); }

private:
    void erase(exchange_id id);

    exchange_table_options m_options;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, exchange> m_exchanges;
    std::unordered_multimap<message_key, exchange_id, message_key_hash> m_byMessage;
    std::deque<exchange_id> m_byReceipt; // by time of receipt
    std::size_t m_replyBytes = 0;
    std::size_t m_open = 0;
};

} // namespace oriolehold::core::internal
