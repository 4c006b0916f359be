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
    outdated,  // the platform has an older document, as after its restore from a copy
    failed,    // no response, an error, or a document that was not accepted
};

struct planned_read
{
    core::time_point at; // earliest start of the read
    read_source source = read_source::platform;
    std::size_t peer = 0;                 // position in the list of peers
    std::chrono::seconds wait { 0 };      // length of the long poll; 0 for an immediate response
    std::chrono::milliseconds timeout {}; // from the start of the read, including wait
};

// Schedules the reads of the configuration: when the next one starts and which source it uses. The
// caller passes all times, so it also runs in virtual time.
//
// The platform serves about 2,000 reads a second in total. After a change all readers get their
// response at the same time. To stay below that rate, the next reads are spread over a time that
// grows with the number of readers, and long polls have random lengths.
class watch_schedule
{
public:
    // Longest long poll; each is shorter by a random number of seconds up to longPollJitter.
    static constexpr std::chrono::seconds longPoll { 30 };
    static constexpr std::chrono::seconds longPollJitter { 5 };
    // Longest random delay of the first read, which spreads the reads of processes that start at
    // the same time.
    static constexpr std::chrono::milliseconds maxStartDelay { 100 };
    // Timeout of a read without long poll. Until the platform has responded once it is shorter, so
    // that peers are read after one second without a response.
    static constexpr std::chrono::milliseconds initialReadTimeout { 900 };
    static constexpr std::chrono::milliseconds readTimeout { 2000 };
    // Exponential back-off after failed reads of the platform; each delay is between half of the
    // back-off and the whole.
    static constexpr std::chrono::milliseconds initialBackOff { 250 };
    static constexpr std::chrono::milliseconds maxBackOff { 10000 };
    // Longest pause between reads of peers while the platform is unreachable, with a document in
    // effect, and between rounds of all peers without one.
    static constexpr std::chrono::milliseconds peerInterval { 10000 };
    static constexpr std::chrono::milliseconds peerIntervalWithoutDocument { 1000 };
    // Total rate of the reads that follow a change; half of what the platform serves.
    static constexpr std::uint64_t readsPerSecondAfterChange = 1000;
    // Shortest time between the starts of two reads when the platform responds without waiting.
    static constexpr std::chrono::milliseconds minReadPeriod { 1000 };
    // Pause until the next read of a platform that has an older document; the longest is twice this
    // long. Changes must be in effect within 8 s, and 4,220 readers must stay below 2,000 reads a
    // second.
    static constexpr std::chrono::milliseconds outdatedInterval { 2500 };

    watch_schedule(std::size_t peerCount, std::uint64_t seed, core::time_point start);

    // The next read; the same until record() is called.
    planned_read next() const;

    // Records the outcome of a planned read that started at began and ended at now.
    void record(const planned_read &read, read_outcome outcome, core::time_point began,
                core::time_point now);

    // Number of processes that read the configuration, from the document in effect.
    void setReaderCount(std::size_t count) { m_readerCount = count; }

    // Whether the last read of the platform failed.
    bool platformUnreachable() const { return m_platformFailures > 0; }

private:
    // A random duration from 0 to maximum.
    core::duration uniform(core::duration maximum);
    void recordPlatform(read_outcome outcome, core::time_point began, core::time_point now);
    void recordPeer(read_outcome outcome, core::time_point now);

    std::size_t m_peerCount;
    core::seeded_random m_random;
    std::size_t m_readerCount = 0;
    bool m_hasDocument = false;
    bool m_platformAnswered = false; // a read of the platform has succeeded
    unsigned m_platformFailures = 0; // consecutive failed reads of the platform
    core::time_point m_nextPlatformRead;
    core::time_point m_nextPeerRead;
    std::size_t m_nextPeer = 0;   // position of the peer of the next read
    std::size_t m_peersTried = 0; // peers read in this round
    std::chrono::seconds m_wait { 0 };
};

} // namespace oriolehold::runtime
