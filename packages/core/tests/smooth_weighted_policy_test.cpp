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

TEST(smooth_weighted_policy, OverloadedUpstreamGetsFewerFlows)
{
    fixture.add(1.0).outstanding = 40.0;
    fixture.add(1.0);
    CHECK_TRUE(fixture.choose(policy, 100)[0] < 25);
}

TEST(smooth_weighted_policy, OldReportsHaveLessWeight)
{
    fixture.add(1.0).outstanding = 20.0;
    fixture.add(1.0);
    smooth_weighted_policy other;
    const int withNewReport = fixture.choose(policy, 100)[0];
    fixture.candidates[0].reportAge = std::chrono::seconds { 1 };
    fixture.candidates[1].reportAge = std::chrono::seconds { 1 };
    CHECK_TRUE(fixture.choose(other, 100)[0] > withNewReport);
}

TEST(smooth_weighted_policy, SharesAreExactForEachKindOfFlow)
{
    // Requests and feeds alternate; with shared credits each upstream would get only one kind.
    fixture.add(1.0);
    fixture.add(1.0);
    int feedsAtFirst = 0;
    for (int i = 0; i < 100; ++i) {
        for (const class_kind kind : { class_kind::request, class_kind::feed }) {
            for (upstream_candidate &candidate : fixture.candidates)
                candidate.kind = kind;
            const int chosenFirst = fixture.choose(policy, 1)[0];
            feedsAtFirst += kind == class_kind::feed ? chosenFirst : 0;
        }
    }
    CHECK_TRUE(std::abs(feedsAtFirst - 50) <= 1);
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
