#include "oriolehold/core/priority_lane_scheduler.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(priority_lane_scheduler)
{
    priority_lane_scheduler scheduler;
    time_point now { 100s };

    void add(std::uint64_t id, duration length, std::uint8_t priority = 0)
    {
        scheduler.enqueue({ job_id { id }, priority, length, now, now + 30s });
    }

    // Adds and removes 50 short jobs, one per gap, so that the scheduler expects more of them.
    void addPastShortJobs(duration gap)
    {
        for (std::uint64_t id = 1000; id < 1050; ++id) {
            now += gap;
            add(id, 10ms);
            scheduler.remove(job_id { id });
        }
    }

    bool next(std::uint64_t id, std::span<const duration> running, std::size_t slots = 2)
    {
        return scheduler.dequeue(running, slots, now) == job_id { id };
    }

    bool keepsSlotFree(std::span<const duration> running, std::size_t slots = 2)
    {
        return !scheduler.dequeue(running, slots, now).has_value();
    }
};

TEST(priority_lane_scheduler, HigherPriorityRunsFirst)
{
    add(1, 10ms, 1);
    add(2, 50ms, 0);
    CHECK_TRUE(next(2, {}));
}

TEST(priority_lane_scheduler, ShorterJobOfTheSamePriorityRunsFirst)
{
    add(1, 50ms);
    add(2, 10ms);
    CHECK_TRUE(next(2, {}));
}

// Guards against long jobs on all slots, which would delay all short jobs.
TEST(priority_lane_scheduler, LastSlotIsReservedForExpectedShortJobs)
{
    addPastShortJobs(20ms);
    add(1, 1s);
    now += 11s;
    add(2, 10ms);
    const duration running[] = { 1s };
    CHECK_TRUE(next(2, running));
    CHECK_TRUE(keepsSlotFree(running));
}

TEST(priority_lane_scheduler, LongJobsUseAllSlotsWhenNoShortJobsAreExpected)
{
    addPastShortJobs(20ms);
    now += 1s;
    add(1, 1s);
    const duration running[] = { 1s };
    CHECK_TRUE(next(1, running));
}

// Guards against an idle upstream with queued jobs, for which no event triggers a dispatch.
TEST(priority_lane_scheduler, IdleUpstreamRunsALongJobImmediately)
{
    addPastShortJobs(1ms);
    add(1, 1s);
    CHECK_TRUE(next(1, {}));
}

TEST(priority_lane_scheduler, AgedLongJobRunsBeforeShortJobsOfItsPriorityOnly)
{
    addPastShortJobs(20ms);
    add(1, 1s);
    now += 6s;
    add(2, 10ms);
    CHECK_TRUE(next(1, {}));

    add(3, 1s, 1);
    now += 13s;
    add(4, 10ms, 0);
    CHECK_TRUE(next(2, {}));
    CHECK_TRUE(next(4, {}));
}

// Guards against starvation of long jobs under a permanent overload of high-priority jobs.
TEST(priority_lane_scheduler, OverdueLongJobRunsBeforeHigherPriorities)
{
    addPastShortJobs(20ms);
    add(1, 1s, 1);
    now += 21s;
    add(2, 10ms, 0);
    CHECK_TRUE(next(1, {}, 1));
}

// Guards against a backlog of aged long jobs that displaces all short jobs under overload.
TEST(priority_lane_scheduler, LongJobsPrecedeShortJobsOnlyOncePerGap)
{
    addPastShortJobs(20ms);
    add(1, 1s);
    add(2, 1s);
    now += 6s;
    add(3, 10ms);
    CHECK_TRUE(next(1, {}));
    CHECK_TRUE(next(3, {}));
    add(4, 10ms);
    now += 2s;
    CHECK_TRUE(next(2, {}));
}

// Guards against jobs of unknown length on all slots: each may turn out to be long.
TEST(priority_lane_scheduler, UnknownJobsLeaveASlotToKnownShortJobs)
{
    addPastShortJobs(20ms);
    add(1, 0ms);
    const duration unknown[] = { 0ms };
    CHECK_TRUE(keepsSlotFree(unknown));
    const duration known[] = { 10ms };
    CHECK_TRUE(next(1, known));
}

TEST(priority_lane_scheduler, UnknownJobsUseAllSlotsWhenNoKnownShortJobsAreExpected)
{
    add(1, 0ms);
    const duration unknown[] = { 0ms };
    CHECK_TRUE(next(1, unknown));
}

// Guards against relying on a wrong prediction: a job predicted as short that runs much longer
// counts as long.
TEST(priority_lane_scheduler, JobThatExceededItsPredictionCountsAsLong)
{
    addPastShortJobs(20ms);
    add(1, 1s);
    const duration running[] = { 500ms };
    CHECK_TRUE(keepsSlotFree(running));
}

TEST(priority_lane_scheduler, ExpectedWaitIgnoresLowerPriorities)
{
    for (std::uint64_t id = 0; id < 10; ++id)
        add(id, 10ms, 1);
    CHECK_TRUE(scheduler.expectedWait(0, 10ms, {}, 2, now) == 0ms);
    CHECK_TRUE(scheduler.expectedWait(1, 10ms, {}, 2, now) == 50ms);
}

TEST(priority_lane_scheduler, ExpectedWaitOfLongAndUnknownJobsCoversTheirSlots)
{
    addPastShortJobs(20ms);
    const duration running[] = { 1s };
    CHECK_TRUE(scheduler.expectedWait(0, 10ms, running, 2, now) == 0ms);
    CHECK_TRUE(scheduler.expectedWait(0, 2s, running, 2, now) == 500ms);
    CHECK_TRUE(scheduler.expectedWait(0, 0ms, running, 2, now) == 500ms);
}
