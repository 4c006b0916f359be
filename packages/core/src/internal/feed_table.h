#pragma once

#include "internal/exchange_table.h"
#include "internal/request_digest.h"
#include "oriolehold/core/agent_core.h"

#include <algorithm>
#include <map>
#include <memory>
#include <tuple>
#include <unordered_map>

// Feeds that this agent owns, found by ID, by registration and by message ID.

namespace oriolehold::core::internal {

struct feed
{
    feed_id id {};
    feed_state state;
    std::string className;
    request_digest bodyDigest {};
    endpoint entry; // that forwarded the caller's latest packet; null when unknown
    std::shared_ptr<const byte_vector> content; // latest state, nullptr until the first one
    std::vector<exchange_id> registrations;     // that wait for the first state
    time_point registered;
    time_point firstStateDeadline; // unused once there is content
    time_point lastSent;
    time_point lastAcknowledged; // registration or acknowledgement of the caller
    int notificationsSinceConfirmable = 0;
    bool confirmablePending = false;
    bool hasUnsentContent = false;
    bool frozen = false; // committed to another agent: no notifications from here
    std::array<std::uint16_t, 16> recentMessageIds {};
    std::size_t messageIdCount = 0;

    void recordMessageId(std::uint16_t messageId)
    {
        recentMessageIds[messageIdCount++ % recentMessageIds.size()] = messageId;
    }
    bool hasSent(std::uint16_t messageId) const
    {
        const std::size_t count = std::min(messageIdCount, recentMessageIds.size());
        return std::ranges::find(std::span(recentMessageIds).first(count), messageId)
                != std::span(recentMessageIds).first(count).end();
    }
};

// A caller's registration; a repeated one has the same key.
struct registration_key
{
    endpoint caller;
    std::uint64_t token = 0; // CoAP tokens have at most 8 bytes
    std::size_t tokenSize = 0;

    bool operator==(const registration_key &) const = default;
    bool operator<(const registration_key &other) const
    {
        return std::tie(caller.address, caller.port, token, tokenSize)
                < std::tie(other.caller.address, other.caller.port, other.token, other.tokenSize);
    }
};

registration_key makeRegistrationKey(const endpoint &caller, byte_view token);

inline registration_key keyOf(const feed_state &state)
{
    return makeRegistrationKey(state.caller, state.token);
}

class feed_table
{
public:
    // The registration must not be in the table. The reference is valid until the feed is erased.
    feed &add(feed_state state);
    void erase(feed_id id);

    // Each returns nullptr when nothing matches.
    feed *find(feed_id id);
    feed *find(const registration_key &key);
    // The feed with a recent notification of this message ID.
    feed *findByMessage(const endpoint &caller, std::uint16_t messageId);

    std::vector<feed_id> ids() const;
    std::size_t size() const { return m_feeds.size(); }

private:
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, feed> m_feeds;
    std::map<registration_key, feed_id> m_byRegistration; // ordered by caller first
};

} // namespace oriolehold::core::internal
