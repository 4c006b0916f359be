#include "oriolehold/flow/read_schedule.h"

#include "flow_fakes.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;

namespace {

// Reads that instances begin in the first seconds while the store has no configuration yet, so that
// none gets a view.
int readsWithoutAView(std::size_t instances, std::size_t seeds, base::duration length)
{
    std::vector<read_schedule> schedules;
    for (std::size_t i = 0; i < instances; ++i)
        schedules.emplace_back(i * 7919, i >= seeds);
    int reads = 0;
    for (base::time_point now = atMilliseconds(0); now < atMilliseconds(0) + length; now += 10ms) {
        for (read_schedule &schedule : schedules) {
            if (!schedule.due(now, {}, false))
                continue;
            schedule.begin(now);
            ++reads;
        }
    }
    return reads;
}

} // namespace

TEST_GROUP(read_schedule) {};

// A view must not wait when an instance starts.
TEST(read_schedule, FirstReadIsDueAtOnce)
{
    CHECK_TRUE(read_schedule(1, true).due(atMilliseconds(0), {}, false));
    CHECK_TRUE(read_schedule(1, false).due(atMilliseconds(0), {}, false));
}

TEST(read_schedule, SeedWithoutAViewReadsAgainSoon)
{
    read_schedule schedule(1, false);
    schedule.begin(atMilliseconds(0));

    CHECK_FALSE(schedule.due(atMilliseconds(399), {}, false));
    CHECK_TRUE(schedule.due(atMilliseconds(400), {}, false));
}

// The seeds may be unreachable.
TEST(read_schedule, OtherInstanceWithoutAViewReadsAgainLater)
{
    read_schedule schedule(0, true);
    schedule.begin(atMilliseconds(0));

    CHECK_FALSE(schedule.due(atMilliseconds(1499), {}, false));
    CHECK_TRUE(schedule.due(atMilliseconds(1500), {}, false));
}

// Thundering herd: before the first configuration is published, all instances start together and
// each read every 400 ms. Calls that are refused count against the limit, too.
TEST(read_schedule, FewInstancesReadWhileNobodyHasAView)
{
    constexpr std::size_t seeds = 3;
    constexpr std::size_t instances = 620;
    const int all = readsWithoutAView(instances, instances, 4s);
    const int onlySeeds = readsWithoutAView(instances, seeds, 4s);

    CHECK_TRUE(all >= 10 * static_cast<int>(instances));
    CHECK_TRUE(onlySeeds < 3 * static_cast<int>(instances) + 10 * static_cast<int>(seeds));
}

// Otherwise hundreds of instances would ask the few seeds for a new list each second.
TEST(read_schedule, InstanceWithAViewReadsAtTheUsualInterval)
{
    read_schedule schedule(0, true);
    schedule.begin(atMilliseconds(0));

    CHECK_FALSE(schedule.due(atMilliseconds(1099), atMilliseconds(0), true));
    CHECK_TRUE(schedule.due(atMilliseconds(1100), atMilliseconds(0), true));
}
