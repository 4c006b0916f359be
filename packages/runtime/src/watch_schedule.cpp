#include "oriolehold/runtime/watch_schedule.h"

#include <algorithm>

namespace oriolehold::runtime {

watch_schedule::watch_schedule(std::size_t peerCount, std::uint64_t seed, core::time_point start)
    : m_peerCount(peerCount), m_random(seed), m_nextPlatformRead(start),
      m_nextPeerRead(start + peerIntervalWithoutDocument)
{
    m_nextPlatformRead += uniform(maxStartDelay);
    if (m_peerCount > 0)
        m_nextPeer = m_random.below(m_peerCount);
}

planned_read watch_schedule::next() const
{
    const bool readPeers = m_peerCount > 0 && m_platformFailures > 0;
    if (readPeers && m_nextPeerRead < m_nextPlatformRead)
        return { m_nextPeerRead, read_source::peer, m_nextPeer, std::chrono::seconds { 0 },
                 readTimeout };
    const std::chrono::milliseconds timeout = m_platformAnswered ? readTimeout : initialReadTimeout;
    return { m_nextPlatformRead, read_source::platform, 0, m_wait, m_wait + timeout };
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
        if (m_platformFailures == 0 && m_platformAnswered)
            m_nextPeerRead = now + uniform(peerInterval);
        core::duration backOff = initialBackOff;
        for (unsigned i = 0; i < m_platformFailures && backOff < maxBackOff; ++i)
            backOff *= 2;
        backOff = std::min<core::duration>(backOff, maxBackOff);
        m_nextPlatformRead = now + backOff / 2 + uniform(backOff / 2);
        m_wait = std::chrono::seconds { 0 };
        ++m_platformFailures;
        return;
    }
    m_platformFailures = 0;
    m_platformAnswered = true;
    if (outcome == read_outcome::outdated) {
        m_nextPlatformRead = now + outdatedInterval + uniform(outdatedInterval);
        m_wait = std::chrono::seconds { 0 };
        return;
    }
    const auto spread = std::chrono::duration_cast<core::duration>(std::chrono::seconds { 1 })
            * m_readerCount / readsPerSecondAfterChange;
    m_nextPlatformRead = now;
    if (outcome == read_outcome::changed)
        m_nextPlatformRead += uniform(spread);
    else
        m_nextPlatformRead = std::max<core::time_point>(now, began + minReadPeriod);
    m_wait = longPoll
            - std::chrono::seconds { m_random.below(
                    static_cast<std::uint64_t>(longPollJitter.count()) + 1) };
}

void watch_schedule::recordPeer(read_outcome outcome, core::time_point now)
{
    m_nextPeer = (m_nextPeer + 1) % m_peerCount;
    // Without a document all peers are read in turn without delay; after a pause the next round
    // starts.
    ++m_peersTried;
    if (!m_hasDocument && outcome == read_outcome::failed && m_peersTried < m_peerCount) {
        m_nextPeerRead = now;
        return;
    }
    m_peersTried = 0;
    const core::duration pause = m_hasDocument ? peerInterval : peerIntervalWithoutDocument;
    m_nextPeerRead = now + pause / 2 + uniform(pause / 2);
}

core::duration watch_schedule::uniform(core::duration maximum)
{
    if (maximum.count() <= 0)
        return core::duration { 0 };
    return core::duration { static_cast<core::duration::rep>(
            m_random.below(static_cast<std::uint64_t>(maximum.count()) + 1)) };
}

} // namespace oriolehold::runtime
