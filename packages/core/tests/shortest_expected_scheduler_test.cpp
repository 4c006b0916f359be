#include "oriolehold/core/shortest_expected_scheduler.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(shortest_expected_scheduler)
{
    shortest_expected_scheduler scheduler;
};

TEST(shortest_expected_scheduler, ShorterJobRunsFirst)
{
    scheduler.enqueue({ job_id { 1 }, 0, 1s, {}, {} });
    scheduler.enqueue({ job_id { 2 }, 0, 10ms, {}, {} });
    CHECK_TRUE(scheduler.dequeue({}, 2, {}) == job_id { 2 });
}

// Guards against starvation of long jobs by a steady stream of short jobs.
TEST(shortest_expected_scheduler, OldJobRunsBeforeShorterNewOne)
{
    scheduler.enqueue({ job_id { 1 }, 0, 1s, {}, {} });
    const time_point later { 21s };
    scheduler.enqueue({ job_id { 2 }, 0, 10ms, later, {} });
    CHECK_TRUE(scheduler.dequeue({}, 2, later) == job_id { 1 });
}

TEST(shortest_expected_scheduler, ExpectedWaitCountsOnlyJobsThatRunFirst)
{
    scheduler.enqueue({ job_id { 1 }, 0, 1s, {}, {} });
    scheduler.enqueue({ job_id { 2 }, 0, 10ms, {}, {} });
    CHECK_TRUE(scheduler.expectedWait(0, 10ms, {}, 1, {}) == 10ms);
    CHECK_TRUE(scheduler.expectedWait(0, 1s, {}, 1, {}) == 1010ms);
}
