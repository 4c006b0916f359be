#include "oriolehold/core/slot_scheduler_factory.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace oriolehold::core;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view names[] = { "fifo", "reserved-slot", "shortest-expected",
                                       "priority-lanes" };

waiting_job makeJob(std::uint64_t id, duration length)
{
    waiting_job job;
    job.id = job_id { id };
    job.expectedService = length;
    return job;
}

} // namespace

TEST_GROUP(slot_scheduler_factory) {};

TEST(slot_scheduler_factory, EveryNameMakesTheSchedulerOfThatName)
{
    for (const std::string_view name : names)
        CHECK_TRUE(makeScheduler(name)->name() == name);
    CHECK_TRUE(makeScheduler(defaultSchedulerName) != nullptr);
}

TEST(slot_scheduler_factory, UnknownNameMakesNothing)
{
    CHECK_TRUE(makeScheduler("no-such-scheduler") == nullptr);
}

// Guards against a scheduler that keeps the only slot reserved for ever.
TEST(slot_scheduler_factory, EverySchedulerRunsEveryJobOnOneSlot)
{
    for (const std::string_view name : names) {
        const auto scheduler = makeScheduler(name);
        for (std::uint64_t id = 0; id < 20; ++id)
            scheduler->enqueue(makeJob(id, id % 5 == 0 ? 1s : id % 5 == 1 ? 0s : 10ms));
        for (int i = 0; i < 20; ++i)
            CHECK_TRUE_TEXT(scheduler->dequeue({}, 1, {}).has_value(), std::string(name).c_str());
        CHECK_EQUAL(0U, scheduler->size());
    }
}

// Guards against jobs that run after they were canceled, and against a corrupt queue length.
TEST(slot_scheduler_factory, RemovedJobIsNotReturned)
{
    for (const std::string_view name : names) {
        const auto scheduler = makeScheduler(name);
        scheduler->enqueue(makeJob(1, 10ms));
        scheduler->enqueue(makeJob(2, 10ms));
        CHECK_TRUE(scheduler->remove(job_id { 1 }));
        CHECK_FALSE(scheduler->remove(job_id { 1 }));
        CHECK_TRUE(scheduler->dequeue({}, 2, {}) == job_id { 2 });
        CHECK_EQUAL(0U, scheduler->size());
    }
}

// Guards against dispatching more jobs than the upstream has slots.
TEST(slot_scheduler_factory, NoSchedulerExceedsTheSlots)
{
    const duration running[] = { 10ms, 10ms };
    for (const std::string_view name : names) {
        const auto scheduler = makeScheduler(name);
        scheduler->enqueue(makeJob(1, 10ms));
        CHECK_FALSE(scheduler->dequeue(running, 2, {}).has_value());
    }
}

// Guards against admission that sees no wait because removed or dispatched work stays counted, or
// queued work is not counted.
TEST(slot_scheduler_factory, ExpectedWaitFollowsTheQueuedWork)
{
    const duration running[] = { 10ms, 10ms };
    for (const std::string_view name : names) {
        const auto scheduler = makeScheduler(name);
        CHECK_TRUE(scheduler->expectedWait(0, 10ms, {}, 2, {}) == 0ms);
        for (std::uint64_t id = 0; id < 10; ++id)
            scheduler->enqueue(makeJob(id, 10ms));
        CHECK_TRUE(scheduler->expectedWait(0, 10ms, running, 2, {}) == 55ms);
        for (std::uint64_t id = 0; id < 10; ++id)
            scheduler->remove(job_id { id });
        CHECK_TRUE(scheduler->expectedWait(0, 10ms, running, 2, {}) == 5ms);
    }
}
