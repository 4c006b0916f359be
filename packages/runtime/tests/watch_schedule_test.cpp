#include "oriolehold/runtime/watch_schedule.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace oriolehold;
using namespace oriolehold::runtime;
using namespace std::chrono_literals;

namespace {

const core::time_point start { 1000s };

// Runs the schedule with a fixed outcome for the platform and for peers, and returns the reads that
// start within the given time. Failed reads end at their timeout, others when their long poll ends.
std::vector<planned_read> simulate(watch_schedule &schedule, core::duration length,
                                   read_outcome platform, read_outcome peer)
{
    std::vector<planned_read> reads;
    core::time_point now = start;
    while (true) {
        planned_read read = schedule.next();
        read.at = std::max(read.at, now);
        if (read.at >= start + length)
            return reads;
        const read_outcome outcome = read.source == read_source::platform ? platform : peer;
        now = outcome == read_outcome::failed ? read.at + read.timeout : read.at + read.wait;
        schedule.record(read, outcome, read.at, now);
        reads.push_back(read);
    }
}

std::size_t countPeers(const std::vector<planned_read> &reads)
{
    return static_cast<std::size_t>(
            std::ranges::count(reads, read_source::peer, &planned_read::source));
}

} // namespace

TEST_GROUP(watch_schedule) {};

TEST(watch_schedule, UnchangedConfigurationIsReadAboutTwiceAMinute)
{
    watch_schedule schedule(3, 1, start);
    const auto reads = simulate(schedule, 3000s, read_outcome::unchanged, read_outcome::failed);
    CHECK_TRUE(reads.size() >= 100 && reads.size() <= 125);
    LONGS_EQUAL(0, countPeers(reads));
}

TEST(watch_schedule, FailedPlatformReadsAreRetriedWithIncreasingDelays)
{
    watch_schedule schedule(0, 1, start);
    const auto reads = simulate(schedule, 600s, read_outcome::failed, read_outcome::failed);
    CHECK_TRUE(reads[1].at - (reads[0].at + reads[0].timeout) <= 250ms);
    for (std::size_t i = 8; i + 1 < reads.size(); ++i) {
        const auto pause = reads[i + 1].at - (reads[i].at + reads[i].timeout);
        CHECK_TRUE(pause >= 5s && pause <= 10s);
    }
}

TEST(watch_schedule, PeersAreReadAfterOneSecondOfFailuresAtStart)
{
    watch_schedule schedule(3, 1, start);
    const auto reads = simulate(schedule, 2s, read_outcome::failed, read_outcome::changed);
    const auto found = std::ranges::find(reads, read_source::peer, &planned_read::source);
    CHECK_TRUE(found != reads.end());
    CHECK_TRUE(found->at >= start + 1s && found->at <= start + 2s);
}

TEST(watch_schedule, AllPeersAreReadWithoutADocument)
{
    watch_schedule schedule(3, 1, start);
    const auto reads = simulate(schedule, 20s, read_outcome::failed, read_outcome::failed);
    for (std::size_t peer = 0; peer < 3; ++peer)
        CHECK_TRUE(std::ranges::any_of(reads, [peer](const planned_read &read) {
            return read.source == read_source::peer && read.peer == peer;
        }));
}

TEST(watch_schedule, PeersAreReadAtLongerIntervalsWithADocument)
{
    watch_schedule schedule(3, 1, start);
    schedule.record(schedule.next(), read_outcome::changed, start, start);
    const auto reads = simulate(schedule, 600s, read_outcome::failed, read_outcome::unchanged);
    CHECK_TRUE(countPeers(reads) >= 40 && countPeers(reads) <= 121);
}

TEST(watch_schedule, SuccessfulReadMakesThePlatformReachable)
{
    watch_schedule schedule(0, 1, start);
    schedule.record(schedule.next(), read_outcome::failed, start, start + 1s);
    CHECK_TRUE(schedule.platformUnreachable());
    schedule.record(schedule.next(), read_outcome::unchanged, start + 2s, start + 3s);
    CHECK_FALSE(schedule.platformUnreachable());
    CHECK_TRUE(schedule.next().wait >= 25s && schedule.next().source == read_source::platform);
}

// A platform that was restored from a copy has an older document until the operator publishes the
// newer one again. Exponential back-off would delay that one by up to 10 s.
TEST(watch_schedule, PlatformWithAnOlderDocumentIsReadAgainSoon)
{
    watch_schedule schedule(3, 1, start);
    core::time_point now = start;
    for (int i = 0; i < 20; ++i) {
        schedule.record(schedule.next(), read_outcome::outdated, now, now);
        CHECK_TRUE(schedule.next().source == read_source::platform);
        CHECK_TRUE(schedule.next().at - now >= 2s && schedule.next().at - now <= 5s);
        now = schedule.next().at;
    }
    CHECK_FALSE(schedule.platformUnreachable());
}

TEST(watch_schedule, PlatformThatDoesNotWaitIsReadAtMostOnceASecond)
{
    watch_schedule schedule(0, 1, start);
    schedule.record(schedule.next(), read_outcome::unchanged, start, start + 1ms);
    CHECK_TRUE(schedule.next().at >= start + 1s);
}

TEST(watch_schedule, ReadsAfterAChangeStayWithinThePlatformReadRate)
{
    // 4,220 readers, the target size of a deployment, receive a change at the same time. The
    // platform serves 2,000 reads a second.
    constexpr std::size_t readers = 4220;
    std::vector<std::size_t> perSecond(10);
    core::time_point latest;
    for (std::size_t reader = 0; reader < readers; ++reader) {
        watch_schedule schedule(3, reader, start);
        schedule.setReaderCount(readers);
        schedule.record(schedule.next(), read_outcome::changed, start, start);
        const core::time_point next = schedule.next().at;
        ++perSecond.at(static_cast<std::size_t>((next - start) / 1s));
        latest = std::max(latest, next);
    }
    CHECK_TRUE(*std::ranges::max_element(perSecond) < 1200);
    CHECK_TRUE(latest - start < 5s);
}
