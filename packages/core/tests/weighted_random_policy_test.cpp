#include "oriolehold/core/weighted_random_policy.h"

#include "policy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;

TEST_GROUP(weighted_random_policy)
{
    policy_fixture fixture;
    weighted_random_policy policy;
};

TEST(weighted_random_policy, SharesFollowStrengthSlotsAndWarmUp)
{
    fixture.add(1.0);
    fixture.add(4.0);
    fixture.add(1.0, 4);
    fixture.add(2.0).warmUpFactor = 0.5;
    const std::vector<int> counts = fixture.choose(policy, 16'000);
    CHECK_TRUE(std::abs(counts[0] - 2'000) < 200);
    CHECK_TRUE(std::abs(counts[1] - 8'000) < 300);
    CHECK_TRUE(std::abs(counts[2] - 4'000) < 300);
    CHECK_TRUE(std::abs(counts[3] - 2'000) < 200);
}

TEST(weighted_random_policy, OtherZoneGetsSlightlyFewerFlows)
{
    fixture.add(1.0);
    fixture.add(1.0).sameZone = false;
    const std::vector<int> counts = fixture.choose(policy, 100'000);
    CHECK_TRUE(counts[1] < counts[0]);
    CHECK_TRUE(counts[1] > 45'000);
}
