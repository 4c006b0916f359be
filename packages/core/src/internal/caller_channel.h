#pragma once

#include "internal/entry_selector.h"
#include "internal/exchange_table.h"
#include "internal/message_id_allocator.h"
#include "internal/response.h"
#include "internal/timer_index.h"
#include "oriolehold/core/agent_core.h"

// CoAP message layer between the agent and callers: detects duplicates, acknowledges, responds and
// retransmits.

namespace oriolehold::core::internal {

// Destination of a feed's notifications.
struct notification_target
{
    feed_id feed {};
    endpoint entry; // preferred
    endpoint caller;
    service_id service {};
    byte_view token;
};

// Origin of a confirmable message that needs no retransmission any more.
struct finished_message
{
    std::optional<feed_id> feed; // none for a separate response
};

class caller_channel
{
public:
    // The references must outlive the channel.
    caller_channel(agent_actions &actions, random_source &random, duration entryTimeout);

    void configure(const configuration &configuration, std::uint8_t index);
    void observeEntry(const endpoint &entry, time_point now) { m_entries.observe(entry, now); }

    // Opens an exchange for a request. For a duplicate packet, the channel repeats what it has sent
    // for the first one and returns an empty optional.
    std::optional<exchange_id> open(const endpoint &entry, const endpoint &caller,
                                    service_id service, const coap::message_view &request,
                                    time_point now);
    const exchange *find(exchange_id id) { return m_exchanges.find(id); }
    std::optional<exchange_id> findOpen(const message_key &key) const
    {
        return m_exchanges.findOpen(key);
    }

    void respond(exchange_id id, const response &value, time_point now);
    // Closes an exchange without a response.
    void closeUnanswered(exchange_id id) { m_exchanges.setReply(id, {}); }

    // Returns the message ID.
    std::uint16_t notify(const notification_target &target, const response &value,
                         bool isConfirmable, time_point now);
    // Earliest time of the next notification to the caller.
    time_point nextSendTime(const endpoint &caller) const
    {
        return m_messageIds.nextSendTime(caller);
    }
    // Stops the retransmissions for a feed.
    void cancelRetransmissions(feed_id feed);

    // Stops the retransmissions of a confirmable message that the caller acknowledged or rejected.
    // Empty when the message is unknown.
    std::optional<finished_message> finishConfirmable(const message_key &key);

    time_point nextTimer() const;
    // Returns the feeds with a confirmable notification that was never acknowledged.
    std::vector<feed_id> advance(time_point now);

    // Whether a response is outstanding or may have been lost.
    bool isBusy(time_point now) const;

private:
    struct confirmable_message
    {
        std::optional<feed_id> feed;
        endpoint entry;
        service_id service {};
        byte_vector bytes;
        int retransmissions = 0;
        duration interval {};
    };

    void repeatReply(exchange &known, time_point now);
    void acknowledge(exchange &value, time_point now);
    void deliver(const endpoint &entry, const exchange &value, byte_view bytes);
    std::uint16_t allocateMessageId(const endpoint &caller, time_point now);
    void startConfirmable(const message_key &key, confirmable_message value, time_point now);
    void retransmit(const message_key &key, time_point now, std::vector<feed_id> &unacknowledged);

    agent_actions &m_actions;
    entry_selector m_entries;
    message_id_allocator m_messageIds;
    exchange_table m_exchanges;
    std::unordered_map<message_key, confirmable_message, message_key_hash> m_confirmables;
    std::unordered_multimap<std::uint64_t, message_key> m_confirmablesByFeed;
    timer_index<message_key, message_key_hash> m_retransmissions;
    timer_index<std::uint64_t> m_acknowledgements; // by exchange
    time_point m_lastAnswerTime = time_point::min();
};

} // namespace oriolehold::core::internal
