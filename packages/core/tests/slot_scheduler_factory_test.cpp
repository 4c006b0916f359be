#include "oriolehold/core/slot_scheduler_factory.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

// Redefines new, so it follows the standard headers.
#include <CppUTest/TestHarness.h>

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

// Runs jobs of mixed lengths on an upstream and returns the number of finished jobs.
std::size_t runMixedJobs(slot_scheduler &scheduler, std::size_t slots, std::size_t jobs)
{
    constexpr duration lengths[] = { 0ms, 5ms, 10ms, 20ms, 1s };
    seeded_random random(slots);
    time_point now {};
    std::vector<time_point> ends;
    std::vector<duration> predicted;
    std::map<job_id, duration> waiting;
    std::size_t arrived = 0;
    std::size_t finished = 0;
    while (arrived < jobs || !ends.empty()) {
        const auto first = std::ranges::min_element(ends);
        if (arrived < jobs && (ends.empty() || random.below(2) == 0)) {
            const job_id id { arrived++ };
            waiting[id] = lengths[random.below(std::size(lengths))];
            scheduler.enqueue(
                    { id, static_cast<std::uint8_t>(random.below(3)), waiting[id], now, now + 1s });
        } else {
            now = std::max(now, *first);
            predicted.erase(predicted.begin() + (first - ends.begin()));
            ends.erase(first);
            ++finished;
        }
        while (const auto id = scheduler.dequeue(predicted, slots, now)) {
            predicted.push_back(waiting.at(*id));
            ends.push_back(now + std::max<duration>(waiting.at(*id), 1ms));
            CHECK_TRUE(ends.size() <= slots);
        }
    }
    return finished;
}

TEST_GROUP(slot_scheduler_factory) {};

TEST(slot_scheduler_factory, CreatesEverySchedulerByItsName)
{
    for (const std::string_view name : names)
        CHECK_TRUE(makeScheduler(name)->name() == name);
    CHECK_TRUE(makeScheduler(defaultSchedulerName) != nullptr);
}

TEST(slot_scheduler_factory, UnknownNameReturnsNull)
{
    CHECK_TRUE(makeScheduler("no-such-scheduler") == nullptr);
}

// Guards against a scheduler that reserves the only slot forever.
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

// Guards against running canceled jobs and against a wrong queue length.
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
TEST(slot_scheduler_factory, NoSchedulerDispatchesBeyondTheSlots)
{
    const duration running[] = { 10ms, 10ms };
    for (const std::string_view name : names) {
        const auto scheduler = makeScheduler(name);
        scheduler->enqueue(makeJob(1, 10ms));
        CHECK_FALSE(scheduler->dequeue(running, 2, {}).has_value());
    }
}

// Guards against wrong admission decisions because queued jobs are not counted, or removed or
// dispatched jobs are still counted.
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

// Guards against jobs that are held back forever because no event triggers another dispatch.
TEST(slot_scheduler_factory, EverySchedulerFinishesAMixedWorkload)
{
    for (const std::string_view name : names) {
        for (std::size_t slots = 1; slots <= 5; ++slots) {
            const auto scheduler = makeScheduler(name);
            CHECK_EQUAL(2000U, runMixedJobs(*scheduler, slots, 2000));
            CHECK_EQUAL(0U, scheduler->size());
        }
    }
}
