#pragma once

#include "internal/timer_index.h"
#include "oriolehold/core/agent_core.h"

#include <map>
#include <tuple>

// New owner's side of the handover: reserves a connection for an offered feed and takes the feed
// over with the commit.

namespace oriolehold::core::internal {

// Feeds of the new owner, as the receiver uses them.
class handover_sink
{
public:
    virtual ~handover_sink() = default;
    virtual bool canAdopt(const feed_state &state) const = 0;
    // This agent owns the feed from now on.
    virtual void adopt(const feed_state &state, time_point now) = 0;
};

class handover_receiver
{
public:
    // The references must outlive the receiver.
    handover_receiver(agent_actions &actions, handover_sink &sink)
        : m_actions(actions), m_sink(sink)
    { }

    // Handles an offer or commit from another agent; duplicates get the same reply.
    void receive(const endpoint &from, const handover_message &message, time_point now);

    // Number of feeds that were accepted but not committed yet.
    std::size_t reserved() const { return m_reserved; }

    time_point nextTimer() const { return m_byExpiry.empty() ? never : m_byExpiry.begin()->first; }
    void advance(time_point now);

private:
    struct transfer_key
    {
        endpoint from;
        core::incarnation incarnation {};
        std::uint64_t id = 0;

        bool operator==(const transfer_key &) const = default;
        bool operator<(const transfer_key &other) const
        {
            return std::tie(from.address, from.port, incarnation, id)
                    < std::tie(other.from.address, other.from.port, other.incarnation, other.id);
        }
    };

    struct transfer
    {
        bool committed = false;
        time_point expiry;
    };

    void reply(const endpoint &to, const handover_message &message, handover_step step);
    void setExpiry(const transfer_key &key, transfer &item, time_point expiry);

    agent_actions &m_actions;
    handover_sink &m_sink;
    std::map<transfer_key, transfer> m_transfers;
    std::set<std::pair<time_point, transfer_key>> m_byExpiry;
    std::size_t m_reserved = 0;
};

} // namespace oriolehold::core::internal
