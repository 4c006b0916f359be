#include "internal/caller_channel.h"

#include "internal/message_timing.h"
#include "internal/request_digest.h"

#include <algorithm>
#include <utility>

namespace oriolehold::core::internal {

using coap::message_type;

namespace {

// A caller that did not receive a piggybacked response retransmits its request after at most 3 s
// (ACK_TIMEOUT * ACK_RANDOM_FACTOR).
constexpr std::chrono::seconds lostAnswerWindow { 4 };

} // namespace

caller_channel::caller_channel(agent_actions &actions, random_source &random, duration entryTimeout)
    : m_actions(actions), m_entries(entryTimeout, random), m_messageIds(random)
{ }

void caller_channel::configure(const configuration &configuration, std::uint8_t index)
{
    m_entries.configure(configuration.content().entries);
    m_messageIds.setIndex(index);
}

std::optional<exchange_id> caller_channel::open(const endpoint &entry, const endpoint &caller,
                                                service_id service,
                                                const coap::message_view &request, time_point now)
{
    m_exchanges.expire(now);
    const message_key key { caller, request.messageId() };
    const std::uint64_t digest = shortDigestOf(request.bytes());
    if (const auto id = m_exchanges.findDuplicate(key, request.token(), digest)) {
        exchange &known = *m_exchanges.find(*id);
        known.entry = entry;
        repeatReply(known, now);
        return std::nullopt;
    }
    exchange value;
    value.entry = entry;
    value.caller = caller;
    value.service = service;
    value.type = request.type();
    value.messageId = request.messageId();
    value.token.assign(request.token().begin(), request.token().end());
    value.packetDigest = digest;
    value.received = now;
    const exchange_id id = m_exchanges.add(std::move(value));
    if (request.type() == message_type::confirmable)
        m_acknowledgements.set(toInteger(id), now + piggybackLimit);
    return id;
}

void caller_channel::respond(exchange_id id, const response &value, time_point now)
{
    exchange *open = m_exchanges.find(id);
    if (open == nullptr || open->state == exchange_state::answered)
        return;
    m_acknowledgements.cancel(toInteger(id));
    m_lastAnswerTime = now;
    const endpoint entry = m_entries.choose(open->entry, now);
    const bool isConfirmable = open->type == message_type::confirmable;
    const bool separate = isConfirmable && open->state == exchange_state::acknowledged;
    const message_type type = separate ? message_type::confirmable
            : isConfirmable            ? message_type::acknowledgement
                                       : message_type::nonConfirmable;
    const bool piggybacked = type == message_type::acknowledgement;
    const std::uint16_t messageId =
            piggybacked ? open->messageId : allocateMessageId(open->caller, now);
    byte_vector bytes = encode(value, type, messageId, open->token).toVector();
    deliver(entry, *open, bytes);
    if (separate) {
        open->replyMessageId = messageId;
        startConfirmable({ open->caller, messageId },
                         { std::nullopt, entry, open->service, bytes, 0, {} }, now);
    }
    m_exchanges.setReply(id, std::move(bytes));
}

std::uint16_t caller_channel::notify(const notification_target &target, const response &value,
                                     bool isConfirmable, time_point now)
{
    const endpoint entry = m_entries.choose(target.entry, now);
    const std::uint16_t messageId = allocateMessageId(target.caller, now);
    byte_vector bytes =
            encode(value, isConfirmable ? message_type::confirmable : message_type::nonConfirmable,
                   messageId, target.token)
                    .toVector();
    m_actions.deliver(entry, target.caller, target.service, bytes);
    if (isConfirmable) {
        startConfirmable({ target.caller, messageId },
                         { target.feed, entry, target.service, std::move(bytes), 0, {} }, now);
    }
    return messageId;
}

void caller_channel::cancelRetransmissions(feed_id feed)
{
    const auto [begin, end] = m_confirmablesByFeed.equal_range(toInteger(feed));
    std::for_each(begin, end, [this](const auto &item) {
        m_confirmables.erase(item.second);
        m_retransmissions.cancel(item.second);
    });
    m_confirmablesByFeed.erase(begin, end);
}

std::optional<finished_message> caller_channel::finishConfirmable(const message_key &key)
{
    const auto found = m_confirmables.find(key);
    if (found == m_confirmables.end())
        return std::nullopt;
    const finished_message result { found->second.feed };
    m_confirmables.erase(found);
    m_retransmissions.cancel(key);
    if (result.feed) {
        const auto [begin, end] = m_confirmablesByFeed.equal_range(toInteger(*result.feed));
        const auto item =
                std::find_if(begin, end, [&](const auto &pair) { return pair.second == key; });
        if (item != end)
            m_confirmablesByFeed.erase(item);
    }
    return result;
}

time_point caller_channel::nextTimer() const
{
    return std::min(m_retransmissions.next(), m_acknowledgements.next());
}

std::vector<feed_id> caller_channel::advance(time_point now)
{
    while (const auto id = m_acknowledgements.popDue(now)) {
        exchange *open = m_exchanges.find(exchange_id { *id });
        if (open != nullptr && open->state == exchange_state::pending)
            acknowledge(*open, now);
    }
    std::vector<feed_id> unacknowledged;
    while (const auto key = m_retransmissions.popDue(now))
        retransmit(*key, now, unacknowledged);
    m_exchanges.expire(now);
    m_messageIds.expire(now);
    return unacknowledged;
}

bool caller_channel::isBusy(time_point now) const
{
    const bool recent =
            m_lastAnswerTime != time_point::min() && now - m_lastAnswerTime < lostAnswerWindow;
    return m_exchanges.hasOpen() || !m_confirmables.empty() || recent;
}

void caller_channel::repeatReply(exchange &known, time_point now)
{
    if (known.state == exchange_state::answered && !known.reply.empty()) {
        const bool separate = known.replyMessageId.has_value();
        if (separate)
            acknowledge(known, now);
        if (!separate || m_confirmables.contains({ known.caller, *known.replyMessageId }))
            deliver(known.entry, known, known.reply);
        m_lastAnswerTime = now;
    } else if (known.state == exchange_state::acknowledged) {
        acknowledge(known, now);
    }
}

void caller_channel::acknowledge(exchange &value, time_point now)
{
    const coap::message_builder ack(message_type::acknowledgement, coap::message_code::empty,
                                    value.messageId);
    deliver(m_entries.choose(value.entry, now), value, ack.bytes());
    if (value.state == exchange_state::pending)
        value.state = exchange_state::acknowledged;
}

void caller_channel::deliver(const endpoint &entry, const exchange &value, byte_view bytes)
{
    m_actions.deliver(entry, value.caller, value.service, bytes);
}

std::uint16_t caller_channel::allocateMessageId(const endpoint &caller, time_point now)
{
    return m_messageIds.allocate(caller, now, [&](std::uint16_t messageId) {
        return m_confirmables.contains({ caller, messageId });
    });
}

void caller_channel::startConfirmable(const message_key &key, confirmable_message value,
                                      time_point now)
{
    value.interval = ackTimeout;
    if (value.feed)
        m_confirmablesByFeed.emplace(toInteger(*value.feed), key);
    m_retransmissions.set(key, now + value.interval);
    m_confirmables.insert_or_assign(key, std::move(value));
}

void caller_channel::retransmit(const message_key &key, time_point now,
                                std::vector<feed_id> &unacknowledged)
{
    confirmable_message &value = m_confirmables.at(key);
    if (value.retransmissions == maxRetransmissions) {
        if (value.feed)
            unacknowledged.push_back(*value.feed);
        finishConfirmable(key);
        return;
    }
    ++value.retransmissions;
    // An entry that still forwards packets may fail to deliver to this caller, so every
    // retransmission uses another entry.
    value.entry = m_entries.chooseOther(value.entry, now);
    value.interval *= 2;
    m_actions.deliver(value.entry, key.caller, value.service, value.bytes);
    m_retransmissions.set(key, now + value.interval);
}

} // namespace oriolehold::core::internal
