#include "oriolehold/core/power_of_two_policy.h"

#include "policy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;

TEST_GROUP(power_of_two_policy)
{
    policy_fixture fixture;
    power_of_two_policy policy;
};

TEST(power_of_two_policy, ChoosesTheLessLoadedOfTwoDrawnUpstreams)
{
    fixture.add(1.0).outstanding = 5.0;
    fixture.add(1.0);
    // The loaded upstream is chosen only if it is drawn twice.
    CHECK_TRUE(std::abs(fixture.choose(policy, 10'000)[0] - 2'500) < 200);
}

TEST(power_of_two_policy, LoadIsRelativeToStrength)
{
    fixture.add(4.0).outstanding = 3.0;
    fixture.add(1.0).outstanding = 1.0;
    const std::vector<int> counts = fixture.choose(policy, 10'000);
    CHECK_TRUE(counts[0] > 9'400);
}
