#include "oriolehold/random_run/random_run.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::random_run;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seedsPerPlan = 20;

} // namespace

TEST_GROUP(random_run)
{
    run_options options;

    // Runs the seeds from 1 up and returns the first violation with its seed, or an empty text.
    std::string firstViolation(std::uint64_t seeds)
    {
        for (options.seed = 1; options.seed <= seeds; ++options.seed) {
            try {
                runOnce(options);
            } catch (const violation &error) {
                return "seed " + std::to_string(options.seed) + ": " + error.what();
            }
        }
        return {};
    }
};

TEST(random_run, SameSeedGivesTheSameRun)
{
    options.plan = change_plan::faults;
    options.length = 10s;

    const run_result first = runOnce(options);
    const run_result second = runOnce(options);

    CHECK_TRUE(first.totals == second.totals);
}

TEST(random_run, PlannedChangesBreakNoFlowAndLoseNoRequest)
{
    options.plan = change_plan::planned;
    for (options.seed = 1; options.seed <= seedsPerPlan; ++options.seed) {
        const run_totals totals = runOnce(options).totals;
        const std::string seed = "seed " + std::to_string(options.seed);
        CHECK_EQUAL_TEXT(0u, totals.brokenFeeds, seed.c_str());
        CHECK_EQUAL_TEXT(0u, totals.failedGuides, seed.c_str());
        CHECK_EQUAL_TEXT(totals.orders, totals.done, seed.c_str());
    }
}

// Seeds in which orders were once redirected between a draining upstream and one with an older
// document until their callers gave up.
TEST(random_run, PlannedChangesOfFormerFailuresLoseNoRequest)
{
    options.plan = change_plan::planned;
    for (const std::uint64_t seed : { 101, 190 }) {
        options.seed = seed;
        const run_totals totals = runOnce(options).totals;
        const std::string text = "seed " + std::to_string(seed);
        CHECK_EQUAL_TEXT(0u, totals.brokenFeeds, text.c_str());
        CHECK_EQUAL_TEXT(0u, totals.failedGuides, text.c_str());
        CHECK_EQUAL_TEXT(totals.orders, totals.done, text.c_str());
    }
}

TEST(random_run, FaultsViolateNoInvariant)
{
    options.plan = change_plan::faults;
    STRCMP_EQUAL("", firstViolation(seedsPerPlan).c_str());
}

// A platform that was restored from a copy offers older documents, to new processes as their first.
TEST(random_run, RestoresOfThePlatformViolateNoInvariant)
{
    options.plan = change_plan::restores;
    STRCMP_EQUAL("", firstViolation(seedsPerPlan).c_str());
    CHECK_TRUE(runOnce(options).platformRestores > 0);
}

TEST(random_run, ReusedIncarnationIsDetectedAsOrderStartedTwice)
{
    options.plan = change_plan::faults;
    options.variant = variant::sameIncarnation;
    STRCMP_CONTAINS("started more than once", firstViolation(200).c_str());
}

TEST(random_run, ModuloRoutingBreaksFeedsUnderPlannedChanges)
{
    options.plan = change_plan::planned;
    options.variant = variant::moduloRouting;
    std::uint64_t broken = 0;
    for (options.seed = 1; options.seed <= seedsPerPlan; ++options.seed)
        broken += runOnce(options).totals.brokenFeeds;
    CHECK_TRUE(broken > 0);
}
