#include "flow_simulation.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

using namespace oriolehold::flow;

namespace {

// First and last seed. ORIOLEHOLD_FLOW_SEEDS=FIRST-LAST plays other ones than CI.
std::pair<std::uint64_t, std::uint64_t> seeds()
{
    const char *text = std::getenv("ORIOLEHOLD_FLOW_SEEDS");
    if (text == nullptr)
        return { 1, 40 };
    char *rest = nullptr;
    const std::uint64_t first = std::strtoull(text, &rest, 10);
    return { first, *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : first };
}

} // namespace

TEST_GROUP(flow_random) {};

// Guards the promises about flows against combinations of faults that no single test covers.
TEST(flow_random, PromisesHoldUnderRandomFaults)
{
    const auto [first, last] = seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        flow_simulation simulation(seed);
        const std::string violation = simulation.run(std::chrono::seconds { 30 });
        const std::string text = "seed " + std::to_string(seed) + ": " + violation;
        CHECK_TRUE_TEXT(violation.empty(), text.c_str());
    }
}

// An answer of a slow store may be older than what was heard from other instances meanwhile.
TEST(flow_random, PromisesHoldWhileTheStoreIsSlowAtTimes)
{
    const auto [first, last] = seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        flow_simulation simulation(seed, flow_simulation::store_speed::slowAtTimes);
        const std::string violation = simulation.run(std::chrono::seconds { 30 });
        const std::string text = "seed " + std::to_string(seed) + " (slow store): " + violation;
        CHECK_TRUE_TEXT(violation.empty(), text.c_str());
    }
}

// Kept seeds of former failures. 131: the agent beside a crashed upstream claimed the flows that it
// was asked for. 14: a copy of an opening packet was tagged with the service that the address had
// by then.
TEST(flow_random, SeedsOfFormerFailuresPass)
{
    for (const std::uint64_t seed : { 14, 131 }) {
        flow_simulation simulation(seed);
        const std::string violation = simulation.run(std::chrono::seconds { 30 });
        CHECK_TRUE_TEXT(violation.empty(), violation.c_str());
    }
    // The agent of a reused address refused a packet that was tagged for the former service, and
    // that counted as the upstream's denial.
    flow_simulation simulation(76, flow_simulation::store_speed::slowAtTimes);
    const std::string violation = simulation.run(std::chrono::seconds { 30 });
    CHECK_TRUE_TEXT(violation.empty(), violation.c_str());
}

// A run in which nothing happens would prove nothing.
TEST(flow_random, RunsIncludeTrafficAndFaults)
{
    flow_simulation simulation(1);
    simulation.run(std::chrono::seconds { 30 });

    CHECK_TRUE(simulation.counts().flowsOpened > 100);
    CHECK_TRUE(simulation.counts().answers > 1000);
    CHECK_TRUE(simulation.counts().resets > 0);
    CHECK_TRUE(simulation.counts().faults > 5);
    CHECK_TRUE(simulation.counts().rehashes > 0);
}
