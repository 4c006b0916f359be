#pragma once

#include "oriolehold/core/types.h"

#include <chrono>
#include <cstdint>

namespace oriolehold::runtime {

enum class read_source : std::uint8_t { platform, peer };

// How a read of the configuration ended.
enum class read_outcome : std::uint8_t {
    changed,   // a new generation took effect
    unchanged, // the source has nothing newer
    failed,    // no answer, an error, or a document that was not accepted
};

struct planned_read
{
    core::time_point at;
    read_source source = read_source::platform;
    std::size_t peer = 0;                 // position in the list of peers
    std::chrono::seconds wait { 0 };      // long poll; 0 asks for an answer at once
    std::chrono::milliseconds timeout {}; // after that the read has failed
};

// Decides when and from whom the configuration is read next. Works in virtual time.
//
// The platform serves about 2,000 reads a second to all readers. After a change every reader has
// its answer at the same moment; the next reads are spread over a time that grows with the number
// of readers, and long polls end at different times.
class watch_schedule
{
public:
    // Length of a long poll; each is shorter by a random part of longPollJitter.
    static constexpr std::chrono::seconds longPoll { 30 };
    static constexpr std::chrono::seconds longPollJitter { 5 };
    // The first read is delayed by at most this time, so that processes that start together spread.
    static constexpr std::chrono::milliseconds maxStartDelay { 100 };
    // Time after which a read without long poll has failed. At start it is shorter, so that peers
    // are asked after one second of silence.
    static constexpr std::chrono::milliseconds initialReadTimeout { 900 };
    static constexpr std::chrono::milliseconds readTimeout { 2000 };
    // Back-off after failures; each delay is between half of it and all of it.
    static constexpr std::chrono::milliseconds initialBackOff { 250 };
    static constexpr std::chrono::milliseconds maxBackOff { 10000 };
    // Silence of the platform after which peers are asked, without and with a document in effect.
    static constexpr std::chrono::milliseconds peerInterval { 10000 };
    static constexpr std::chrono::milliseconds peerIntervalWithoutDocument { 1000 };
    // Rate at which all readers together return after a change; half of what the platform serves.
    static constexpr std::uint64_t readsPerSecondAfterChange = 1000;
    // Shortest time between the starts of two reads when the platform answers without waiting.
    static constexpr std::chrono::milliseconds minReadPeriod { 1000 };

    watch_schedule(std::size_t peerCount, std::uint64_t seed, core::time_point start);

    // The next read. Stays the same until a read is recorded.
    planned_read next() const;

    // Records the end of the planned read, which began at began and ended at now.
    void record(const planned_read &read, read_outcome outcome, core::time_point began,
                core::time_point now);

    // Number of processes that read the configuration, from the document in effect.
    void setReaderCount(std::size_t count) { m_readerCount = count; }

    bool platformUnreachable() const { return m_platformFailures > 0; }

private:
    core::duration uniform(core::duration maximum);
    void recordPlatform(read_outcome outcome, core::time_point began, core::time_point now);
    void recordPeer(read_outcome outcome, core::time_point now);

    std::size_t m_peerCount;
    core::seeded_random m_random;
    std::size_t m_readerCount = 0;
    bool m_hasDocument = false;
    bool m_platformAnswered = false; // the platform has answered at least once
    unsigned m_platformFailures = 0; // reads of the platform that failed since the last answer
    core::time_point m_nextPlatformRead;
    core::time_point m_nextPeerRead;
    std::size_t m_nextPeer = 0;   // the next peer to ask
    std::size_t m_peersTried = 0; // in this round
    std::chrono::seconds m_wait { 0 };
};

} // namespace oriolehold::runtime
