#include "oriolehold/core/least_expected_wait_policy.h"

#include "policy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;

TEST_GROUP(least_expected_wait_policy)
{
    policy_fixture fixture;
    least_expected_wait_policy policy;
};

TEST(least_expected_wait_policy, ChoosesLowestLoadPerCapacity)
{
    fixture.add(1.0).outstanding = 1.0;
    fixture.add(4.0).outstanding = 3.0;
    fixture.add(2.0).outstanding = 4.0;
    CHECK_EQUAL(100, fixture.choose(policy, 100)[1]);
}

TEST(least_expected_wait_policy, TiesAreBrokenEvenly)
{
    for (int i = 0; i < 4; ++i)
        fixture.add(1.0);
    for (const int count : fixture.choose(policy, 8'000))
        CHECK_TRUE(std::abs(count - 2'000) < 200);
}

TEST(least_expected_wait_policy, WarmingUpstreamCountsAsSlow)
{
    fixture.add(4.0).warmUpFactor = 0.1;
    fixture.add(1.0);
    CHECK_EQUAL(100, fixture.choose(policy, 100)[1]);
}

TEST(least_expected_wait_policy, OtherZoneIsChosenBeforeOwnZoneQueuesOneMoreJob)
{
    fixture.add(1.0).outstanding = 1.0;
    fixture.add(1.0).sameZone = false;
    fixture.candidates[1].outstanding = 1.0;
    CHECK_EQUAL(100, fixture.choose(policy, 100)[0]);
    fixture.candidates[0].outstanding = 2.0;
    CHECK_EQUAL(100, fixture.choose(policy, 100)[1]);
}
