#include "internal/handover_sender.h"

#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <utility>

namespace oriolehold::core::internal {

namespace {

// Limits the burst of messages when an agent with thousands of feeds drains.
constexpr std::size_t maxTransfers = 64;
constexpr std::chrono::milliseconds offerInterval { 300 };
constexpr int maxOffers = 3;                                     // to one target
constexpr std::chrono::milliseconds firstCommitInterval { 200 }; // doubled each time
constexpr std::chrono::seconds maxCommitInterval { 2 };
// Delay after all targets have refused or not replied.
constexpr std::chrono::seconds roundBackoff { 1 };
// Time for which a target that did not reply gets no offers while there are other targets.
constexpr std::chrono::seconds unresponsiveTargetBackoff { 5 };

} // namespace

void handover_sender::setTargets(std::vector<const upstream *> targets)
{
    std::vector<target> updated;
    std::ranges::transform(targets, std::back_inserter(updated), [this](const upstream *item) {
        const target *previous = findTarget(item->agent);
        return target { item->id, item->agent,
                        previous != nullptr ? previous->backoffUntil : time_point {} };
    });
    m_targets = std::move(updated);
}

void handover_sender::start(feed_id feed, time_point now)
{
    m_queued.push_back(feed);
    startQueued(now);
}

void handover_sender::receive(const endpoint &from, const handover_message &message, time_point now)
{
    const auto found = m_transfers.find(message.id);
    if (message.from != m_incarnation || found == m_transfers.end() || found->second.target != from)
        return;
    transfer &item = found->second;
    if (message.step == handover_step::accept && item.state == phase::offered) {
        commit(message.id, item, now);
    } else if (message.step == handover_step::refuse && item.state == phase::offered) {
        ++item.refusals;
        offerNext(message.id, now);
    } else if (message.step == handover_step::done && item.state == phase::committed) {
        finish(message.id, now);
    }
}

void handover_sender::advance(time_point now)
{
    while (const auto id = m_timers.popDue(now)) {
        transfer &item = m_transfers.at(*id);
        if (item.state == phase::committed) {
            item.interval = std::min<duration>(item.interval * 2, maxCommitInterval);
            send(*id, item, handover_step::commit, item.committed);
            m_timers.set(*id, now + item.interval);
        } else if (item.state == phase::offered && item.transmissions < maxOffers) {
            offer(*id, item, now);
        } else {
            if (item.state == phase::offered) {
                ++item.refusals;
                if (target *unresponsive = findTarget(item.target))
                    unresponsive->backoffUntil = now + unresponsiveTargetBackoff;
            }
            offerNext(*id, now);
        }
    }
}

void handover_sender::startQueued(time_point now)
{
    while (!m_queued.empty() && m_transfers.size() < maxTransfers) {
        const feed_id feed = m_queued.front();
        m_queued.pop_front();
        if (!m_source.stateOf(feed, now))
            continue;
        transfer item;
        item.feed = feed;
        const std::uint64_t id = ++m_lastId;
        m_transfers.emplace(id, std::move(item));
        offerNext(id, now);
    }
}

void handover_sender::offer(std::uint64_t id, transfer &item, time_point now)
{
    const std::optional<feed_state> state = m_source.stateOf(item.feed, now);
    if (!state) {
        finish(id, now);
        return;
    }
    ++item.transmissions;
    send(id, item, handover_step::offer, *state);
    m_timers.set(id, now + offerInterval);
}

void handover_sender::offerNext(std::uint64_t id, time_point now)
{
    // Each offer to another target has a new ID, so that a late accept of a previous target has no
    // effect.
    auto node = m_transfers.extract(id);
    m_timers.cancel(id);
    node.key() = ++m_lastId;
    transfer &item = m_transfers.insert(std::move(node)).position->second;
    const bool allRefused = item.refusals >= std::max<std::size_t>(m_targets.size(), 1);
    const target *next = m_targets.empty() || allRefused ? nullptr : chooseTarget(item.target, now);
    if (next == nullptr) {
        item.state = phase::backoff;
        item.refusals = 0;
        m_timers.set(m_lastId, now + roundBackoff);
        return;
    }
    item.state = phase::offered;
    item.target = next->agent;
    item.transmissions = 0;
    offer(m_lastId, item, now);
}

void handover_sender::commit(std::uint64_t id, transfer &item, time_point now)
{
    const target *owner = findTarget(item.target);
    const std::optional<feed_state> state = m_source.stateOf(item.feed, now);
    if (!state) {
        finish(id, now); // the accepted offer expires
        return;
    }
    if (owner == nullptr) { // removed from the configuration since the offer
        offerNext(id, now);
        return;
    }
    m_source.freeze(item.feed, owner->id, now);
    item.state = phase::committed;
    item.committed = *state;
    item.interval = firstCommitInterval;
    send(id, item, handover_step::commit, item.committed);
    m_timers.set(id, now + item.interval);
}

void handover_sender::finish(std::uint64_t id, time_point now)
{
    const auto found = m_transfers.find(id);
    const feed_id feed = found->second.feed;
    const bool committed = found->second.state == phase::committed;
    m_transfers.erase(found);
    m_timers.cancel(id);
    if (committed)
        m_source.release(feed);
    startQueued(now);
}

void handover_sender::send(std::uint64_t id, const transfer &item, handover_step step,
                           const feed_state &feed)
{
    m_actions.sendHandover(item.target, { step, id, m_incarnation, feed });
}

const handover_sender::target *handover_sender::chooseTarget(const endpoint &excluded,
                                                             time_point now)
{
    const auto nextMatching = [&](auto &&accepts) -> const target * {
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            const std::size_t index = (m_nextTarget + i) % m_targets.size();
            if (accepts(m_targets[index])) {
                m_nextTarget = index + 1;
                return &m_targets[index];
            }
        }
        return nullptr;
    };
    const target *preferred = nextMatching(
            [&](const target &item) { return item.agent != excluded && item.backoffUntil <= now; });
    if (preferred == nullptr)
        preferred = nextMatching([&](const target &item) { return item.agent != excluded; });
    return preferred != nullptr ? preferred : nextMatching([](const target &) { return true; });
}

handover_sender::target *handover_sender::findTarget(const endpoint &agent)
{
    const auto found = std::ranges::find(m_targets, agent, &target::agent);
    return found == m_targets.end() ? nullptr : &*found;
}

} // namespace oriolehold::core::internal
