#pragma once

#include "internal/timer_index.h"
#include "oriolehold/core/agent_core.h"

#include <deque>
#include <map>
#include <unordered_map>

// Old owner's side of the handover: offer, wait for accept, commit, wait for done.

namespace oriolehold::core::internal {

// Feeds of the old owner, as the sender uses them.
class handover_source
{
public:
    virtual ~handover_source() = default;
    // State of a feed, empty when it has ended.
    virtual std::optional<feed_state> stateOf(feed_id feed, time_point now) const = 0;
    // The other upstream owns the feed from now on; this agent must not send for it any more.
    virtual void freeze(feed_id feed, upstream_id newOwner, time_point now) = 0;
    // The new owner has confirmed the commit.
    virtual void release(feed_id feed) = 0;
};

class handover_sender
{
public:
    // The references must outlive the sender.
    handover_sender(incarnation own, agent_actions &actions, handover_source &source)
        : m_incarnation(own), m_actions(actions), m_source(source)
    { }

    // Agents that can take feeds over.
    void setTargets(std::vector<const upstream *> targets);
    // Queues a feed for the handover. The number of handovers at a time is bounded.
    void start(feed_id feed, time_point now);
    // Handles an accept, refuse or done from another agent; late and duplicate ones have no effect.
    void receive(const endpoint &from, const handover_message &message, time_point now);

    time_point nextTimer() const { return m_timers.next(); }
    void advance(time_point now);

private:
    enum class phase : std::uint8_t { backoff, offered, committed };

    struct transfer
    {
        feed_id feed {};
        phase state = phase::backoff;
        endpoint target;
        feed_state committed;
        std::size_t refusals = 0; // targets that refused or did not reply in this round
        int transmissions = 0;
        duration interval {};
    };

    struct target
    {
        upstream_id id {};
        endpoint agent;
        time_point backoffUntil;
    };

    void startQueued(time_point now);
    void offer(std::uint64_t id, transfer &item, time_point now);
    void offerNext(std::uint64_t id, time_point now);
    void commit(std::uint64_t id, transfer &item, time_point now);
    void finish(std::uint64_t id, time_point now);
    void send(std::uint64_t id, const transfer &item, handover_step step, const feed_state &feed);
    // A target other than excluded, if there is one.
    const target *chooseTarget(const endpoint &excluded, time_point now);
    target *findTarget(const endpoint &agent);

    incarnation m_incarnation;
    agent_actions &m_actions;
    handover_source &m_source;
    std::vector<target> m_targets;
    std::size_t m_nextTarget = 0;
    std::uint64_t m_lastId = 0;
    std::deque<feed_id> m_queued;
    std::map<std::uint64_t, transfer> m_transfers; // by the ID in the messages
    timer_index<std::uint64_t> m_timers;
};

} // namespace oriolehold::core::internal
