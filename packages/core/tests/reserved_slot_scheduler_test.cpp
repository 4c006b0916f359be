#include "oriolehold/core/reserved_slot_scheduler.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(reserved_slot_scheduler)
{
    reserved_slot_scheduler scheduler;

    void setup() override
    {
        // The classifier needs jobs of typical length.
        for (std::uint64_t id = 0; id < 10; ++id) {
            scheduler.enqueue({ job_id { id }, 0, 10ms, {}, {} });
            scheduler.remove(job_id { id });
        }
        scheduler.enqueue({ job_id { 100 }, 0, 1s, {}, {} });
    }
};

// Guards against long jobs on all slots, which would delay all short jobs.
TEST(reserved_slot_scheduler, LastSlotIsReservedForShortJobs)
{
    const duration running[] = { 1s };
    CHECK_FALSE(scheduler.dequeue(running, 2, {}).has_value());
    scheduler.enqueue({ job_id { 101 }, 0, 10ms, {}, {} });
    CHECK_TRUE(scheduler.dequeue(running, 2, {}) == job_id { 101 });
}

TEST(reserved_slot_scheduler, LongJobRunsImmediatelyBesideShortJobs)
{
    const duration running[] = { 10ms };
    CHECK_TRUE(scheduler.dequeue(running, 2, {}) == job_id { 100 });
}

TEST(reserved_slot_scheduler, ExpectedWaitOfLongJobIncludesTheLongQueue)
{
    const duration running[] = { 1s };
    CHECK_TRUE(scheduler.expectedWait(0, 10ms, running, 2, {}) == 0ms);
    CHECK_TRUE(scheduler.expectedWait(0, 1s, running, 2, {}) == 1500ms);
}
