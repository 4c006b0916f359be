#include "oriolehold/flow/placement_policy.h"

#include "test_values.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;

namespace {

const base::time_point now = atMilliseconds(0);

} // namespace

TEST_GROUP(placement_policy)
{
    base::seeded_random random { 1 };
    expected_time_policy policy { random };
    std::vector<known_upstream> upstreams { idleUpstream(1), idleUpstream(2) };

    // Returns how often each machine is chosen in count placements.
    std::map<std::uint32_t, int> choices(int count)
    {
        std::vector<known_upstream *> candidates;
        for (known_upstream &item : upstreams)
            candidates.push_back(&item);
        std::map<std::uint32_t, int> result;
        for (int i = 0; i < count; ++i)
            ++result[policy.choose(candidates, "zone-a", now)->machine()];
        return result;
    }
};

TEST(placement_policy, NoCandidateYieldsNull)
{
    POINTERS_EQUAL(nullptr, policy.choose({}, "zone-a", now));
}

TEST(placement_policy, LessLoadedUpstreamIsChosen)
{
    upstreams[0].report.running = 3;

    CHECK_EQUAL(10, choices(10)[2]);
}

// The speed of upstreams is not published. A slow one takes longer for the same number of requests.
TEST(placement_policy, FasterUpstreamIsChosenAtEqualLoad)
{
    upstreams[0].report.running = upstreams[1].report.running = 2;
    upstreams[0].report.meanServiceTime = 40ms;

    CHECK_EQUAL(10, choices(10)[2]);
}

TEST(placement_policy, UpstreamOfTheOwnZoneIsChosenAtEqualLoad)
{
    upstreams[0].record.zone = "zone-b";

    CHECK_EQUAL(10, choices(10)[2]);
}

TEST(placement_policy, ShorterQueueInAnotherZoneIsChosen)
{
    upstreams[0].report.running = 3;
    upstreams[1].record.zone = "zone-b";

    CHECK_EQUAL(10, choices(10)[2]);
}

TEST(placement_policy, UpstreamsWithoutReportsOrWithRefusalsAreChosenLast)
{
    upstreams.push_back(idleUpstream(3));
    upstreams[0].reportedAt = now - 1s;
    upstreams[1].avoidUntil = now + 10ms;
    upstreams[2].report.running = 9;

    CHECK_EQUAL(10, choices(10)[3]);
}

TEST(placement_policy, RefusingUpstreamIsChosenWhenAllRefused)
{
    upstreams[0].avoidUntil = upstreams[1].avoidUntil = now + 10ms;
    auto result = choices(10);

    CHECK_EQUAL(10, result[1] + result[2]);
}

// Reports may be 200 ms old. Without sampling, all entry instances would choose the same idle
// upstream and overload it.
TEST(placement_policy, InstancesWithTheSameReportsSpreadTheirFlows)
{
    for (std::uint32_t machine = 3; machine <= 10; ++machine)
        upstreams.push_back(idleUpstream(machine));
    for (std::size_t i = 1; i < upstreams.size(); ++i)
        upstreams[i].report.running = 1;
    const auto result = choices(1000);

    CHECK_EQUAL(10, result.size());
    // The idle upstream is one of the two sampled ones in a fifth of the cases.
    CHECK_TRUE(result.at(1) > 150 && result.at(1) < 250);
}

// Guards against entry instances that flood a new upstream: it is idle in all their reports, which
// are up to 200 ms old, and its agent passes on one request in two slots.
TEST(placement_policy, LimitedUpstreamGetsTheShareOfItsLimit)
{
    for (std::uint32_t machine = 3; machine <= 8; ++machine)
        upstreams.push_back(idleUpstream(machine));
    upstreams[0].capacity.concurrency = 1000;
    upstreams[0].warmUpEndsAt = now + 1s;
    for (std::size_t i = 1; i < upstreams.size(); ++i)
        upstreams[i].report.running = 1;
    const auto result = choices(8000);

    // An eighth of the flows is the share of an upstream; as an idle one it would get twice as
    // many.
    CHECK_TRUE(result.at(1) > 800 && result.at(1) < 1200);
}

// Guards against a new upstream that stays idle: a limit of one request does not make its first
// request slower, and it is not 1.6 times slower because its warm-up lasts.
TEST(placement_policy, IdleLimitedUpstreamIsNotAvoided)
{
    upstreams[0].capacity.concurrency = 1000;
    upstreams[0].warmUpEndsAt = now + 1s;
    upstreams[1].report.running = 1;

    CHECK_TRUE(choices(1000)[1] > 450);
}
