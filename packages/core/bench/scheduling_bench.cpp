#include "oriolehold/core/admission_policy.h"
#include "oriolehold/core/class_histograms.h"
#include "oriolehold/core/slot_scheduler_factory.h"

#include <benchmark/benchmark.h>

#include <string>

// Cost of scheduling, refusing and recording a request, by queue length.

using namespace oriolehold::core;
using namespace std::chrono_literals;

namespace {

constexpr duration running[] = { 10ms, 1s };

waiting_job makeJob(std::uint64_t id)
{
    const duration length = id % 100 == 0 ? duration(1s) : duration(5ms + 1ms * (id % 10));
    return { job_id { id }, static_cast<std::uint8_t>(id % 2), length, time_point { 1us * id },
             time_point { 1h } };
}

std::unique_ptr<slot_scheduler> makeQueue(std::int64_t length)
{
    auto scheduler = makeScheduler(defaultSchedulerName);
    for (std::uint64_t id = 0; id < static_cast<std::uint64_t>(length); ++id)
        scheduler->enqueue(makeJob(id));
    return scheduler;
}

void enqueueAndDequeue(benchmark::State &state)
{
    const auto scheduler = makeQueue(state.range(0));
    auto id = static_cast<std::uint64_t>(state.range(0));
    for (auto _ : state) {
        scheduler->enqueue(makeJob(id++));
        benchmark::DoNotOptimize(
                scheduler->dequeue(std::span(running).first(1), 2, time_point { 1us * id }));
    }
}
BENCHMARK(enqueueAndDequeue)->Arg(16)->Arg(256)->Arg(4096)->Arg(65536);

void refuse(benchmark::State &state)
{
    const auto scheduler = makeQueue(state.range(0));
    const deadline_admission_policy policy;
    const time_point now { 1s };
    for (auto _ : state) {
        const admission_request request { .now = now,
                                          .deadline = now + 1ms,
                                          .expectedWait =
                                                  scheduler->expectedWait(1, 10ms, running, 2, now),
                                          .expectedService = 10ms,
                                          .priority = 1,
                                          .queued = scheduler->size(),
                                          .freeMemory = 1 << 30 };
        benchmark::DoNotOptimize(policy.refusal(request));
    }
}
BENCHMARK(refuse)->Arg(16)->Arg(256)->Arg(4096)->Arg(65536);

void recordResult(benchmark::State &state)
{
    class_histograms histograms;
    seeded_random random(1);
    for (auto _ : state) {
        const duration wait { random.below(100'000) };
        histograms.record(
                { "tenant", "service", "class", result_code::done, wait, 10ms, wait + 10ms });
    }
}
BENCHMARK(recordResult);

void renderHistograms(benchmark::State &state)
{
    class_histograms histograms;
    for (int i = 0; i < 20; ++i) {
        const std::string name = "class" + std::to_string(i);
        for (int sample = 0; sample < 100; ++sample)
            histograms.record({ "tenant", "service", name, result_code::done, 1ms, 10ms, 11ms });
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(renderPrometheus(histograms.snapshot()));
}
BENCHMARK(renderHistograms);

} // namespace
