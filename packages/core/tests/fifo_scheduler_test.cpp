#include "oriolehold/core/fifo_scheduler.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(fifo_scheduler) {};

TEST(fifo_scheduler, JobsRunInOrderOfArrival)
{
    fifo_scheduler scheduler;
    scheduler.enqueue({ job_id { 7 }, 1, 1s, {}, {} });
    scheduler.enqueue({ job_id { 3 }, 0, 1ms, {}, {} });
    CHECK_TRUE(scheduler.dequeue({}, 2, {}) == job_id { 7 });
    CHECK_TRUE(scheduler.dequeue({}, 2, {}) == job_id { 3 });
}
