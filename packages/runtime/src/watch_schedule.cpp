#include "oriolehold/runtime/watch_schedule.h"

#include <algorithm>

namespace oriolehold::runtime {

watch_schedule::watch_schedule(std::size_t peerCount, std::uint64_t seed, core::time_point start)
    : m_peerCount(peerCount), m_random(seed), m_platformAt(start),
      m_peerAt(start + firstPeerInterval)
{
    m_platformAt += uniform(startSpread);
    if (m_peerCount > 0)
        m_peer = m_random.below(m_peerCount);
}

planned_read watch_schedule::next() const
{
    const bool askPeers = m_peerCount > 0 && m_failures > 0;
    if (askPeers && m_peerAt < m_platformAt)
        return { m_peerAt, read_source::peer, m_peer, std::chrono::seconds { 0 }, readLimit };
    const std::chrono::milliseconds limit = m_answered ? readLimit : firstReadLimit;
    return { m_platformAt, read_source::platform, 0, m_wait, m_wait + limit };
}

void watch_schedule::record(const planned_read &read, read_outcome outcome, core::time_point began,
                            core::time_point now)
{
    if (outcome == read_outcome::changed)
        m_hasDocument = true;
    if (read.source == read_source::platform)
        recordPlatform(outcome, began, now);
    else
        recordPeer(outcome, now);
}

void watch_schedule::recordPlatform(read_outcome outcome, core::time_point began,
                                    core::time_point now)
{
    if (outcome == read_outcome::failed) {
        if (m_failures == 0 && m_answered)
            m_peerAt = now + uniform(peerInterval);
        core::duration backOff = firstBackOff;
        for (unsigned i = 0; i < m_failures && backOff < lastBackOff; ++i)
            backOff *= 2;
        backOff = std::min<core::duration>(backOff, lastBackOff);
        m_platformAt = now + backOff / 2 + uniform(backOff / 2);
        m_wait = std::chrono::seconds { 0 };
        ++m_failures;
        return;
    }
    m_failures = 0;
    m_answered = true;
    const auto spread = std::chrono::duration_cast<core::duration>(std::chrono::seconds { 1 })
            * m_readers / returnsPerSecond;
    m_platformAt = now;
    if (outcome == read_outcome::changed)
        m_platformAt += uniform(spread);
    else
        m_platformAt = std::max<core::time_point>(now, began + shortestPeriod);
    m_wait = longPoll
            - std::chrono::seconds { m_random.below(
                    static_cast<std::uint64_t>(longPollSpread.count()) + 1) };
}

void watch_schedule::recordPeer(read_outcome outcome, core::time_point now)
{
    m_peer = (m_peer + 1) % m_peerCount;
    // Without a document all peers are asked in turn, and then again after a pause.
    ++m_peersAsked;
    if (!m_hasDocument && outcome == read_outcome::failed && m_peersAsked < m_peerCount) {
        m_peerAt = now;
        return;
    }
    m_peersAsked = 0;
    const core::duration pause = m_hasDocument ? peerInterval : firstPeerInterval;
    m_peerAt = now + pause / 2 + uniform(pause / 2);
}

core::duration watch_schedule::uniform(core::duration maximum)
{
    if (maximum.count() <= 0)
        return core::duration { 0 };
    return core::duration { static_cast<core::duration::rep>(
            m_random.below(static_cast<std::uint64_t>(maximum.count()) + 1)) };
}

} // namespace oriolehold::runtime
