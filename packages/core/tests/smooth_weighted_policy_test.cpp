#include "oriolehold/core/smooth_weighted_policy.h"

#include "policy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;

TEST_GROUP(smooth_weighted_policy)
{
    policy_fixture fixture;
    smooth_weighted_policy policy;
};

TEST(smooth_weighted_policy, SharesAreExactOverShortTimes)
{
    fixture.add(1.0);
    fixture.add(4.0);
    fixture.add(3.0);
    const std::vector<int> counts = fixture.choose(policy, 80);
    CHECK_TRUE(std::abs(counts[0] - 10) <= 1);
    CHECK_TRUE(std::abs(counts[1] - 40) <= 1);
    CHECK_TRUE(std::abs(counts[2] - 30) <= 1);
}

TEST(smooth_weighted_policy, OverloadedUpstreamGetsLess)
{
    fixture.add(1.0).outstanding = 40.0;
    fixture.add(1.0);
    CHECK_TRUE(fixture.choose(policy, 100)[0] < 25);
}

TEST(smooth_weighted_policy, ReturningUpstreamGetsNoBurst)
{
    fixture.add(1.0);
    fixture.add(1.0);
    fixture.choose(policy, 10);
    const std::vector<upstream_candidate> both = fixture.candidates;
    fixture.candidates.pop_back();
    fixture.choose(policy, 1'000);
    fixture.candidates = both;
    CHECK_TRUE(fixture.choose(policy, 20)[1] <= 14);
}
