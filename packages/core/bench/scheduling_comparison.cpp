#include "oriolehold/core/admission_policy.h"
#include "oriolehold/core/running_prediction.h"
#include "oriolehold/core/service_time_estimator.h"
#include "oriolehold/core/slot_scheduler_factory.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <queue>
#include <string>
#include <vector>

// Compares the schedulers on one upstream in virtual time. Prints Markdown tables.

using namespace oriolehold::core;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view schedulerNames[] = { "fifo", "reserved-slot", "shortest-expected",
                                                "priority-lanes" };
constexpr std::string_view orderPaths[] = { "orders/small", "orders/medium", "orders/large" };
constexpr std::array<double, 3> pathMeans { 5'000.0, 10'000.0, 15'000.0 }; // microseconds
constexpr double shortMean = 10'000.0;                                     // microseconds
constexpr double longFactor = 100.0;
constexpr double unknownShare = 0.1; // share of short jobs, if some lengths are unknown
constexpr double steadyLoad = 0.7;   // share of the capacity
constexpr std::size_t plannedJobs = 300'000;
constexpr duration highDeadline = 500ms;
constexpr duration lowDeadline = 2s;
constexpr duration longDeadline = 30s;

enum class variation { exponential, moderate };
enum class prediction { known, unknownPaths, wrong };

struct phase
{
    duration length {};
    double highLoad = 0.0; // share of the capacity
    double lowLoad = 0.0;
};

struct workload
{
    std::size_t slots = 2;
    std::vector<phase> phases;
    double longShare = 0.0; // share of the low-priority jobs
    prediction lengths = prediction::known;
    variation shape = variation::exponential;
};

struct planned_job
{
    time_point arrival;
    time_point deadline;
    duration service {};
    std::string_view path;
    std::uint8_t priority = 0;
    bool isLong = false;
    bool isUnknown = false;
};

enum class job_group : std::uint8_t { knownShort, unknownShort, straggler };

job_group groupOf(const planned_job &job)
{
    if (job.isLong)
        return job_group::straggler;
    return job.isUnknown ? job_group::unknownShort : job_group::knownShort;
}

struct job_outcome
{
    bool answered = false;
    duration wait {};
    time_point finished;
};

double exponential(random_source &random)
{
    return -std::log(1.0 - random.uniform01());
}

duration microseconds(double value)
{
    return duration { std::max<duration::rep>(1, std::llround(value)) };
}

planned_job planJob(const workload &load, std::uint8_t priority, time_point arrival,
                    random_source &random)
{
    planned_job job;
    job.arrival = arrival;
    job.priority = priority;
    job.isLong = priority > 0 && random.uniform01() < load.longShare;
    const std::size_t path = random.below(std::size(orderPaths));
    const double spread =
            load.shape == variation::exponential ? exponential(random) : 0.5 + random.uniform01();
    job.path = orderPaths[path];
    job.service = microseconds(pathMeans[path] * spread);
    if (job.isLong) {
        job.service = microseconds(longFactor * shortMean * (0.5 + random.uniform01()));
        if (load.lengths != prediction::wrong)
            job.path = "reports/full";
    }
    job.isUnknown = load.lengths == prediction::unknownPaths
            && (job.isLong || random.uniform01() < unknownShare);
    const duration limit = job.isLong ? longDeadline : priority > 0 ? lowDeadline : highDeadline;
    job.deadline = arrival + limit;
    return job;
}

// Poisson arrivals of both priorities, ordered by time.
std::vector<planned_job> plan(const workload &load, random_source &random)
{
    const double lowMean = shortMean * (1.0 + load.longShare * (longFactor - 1.0));
    std::vector<planned_job> jobs;
    time_point start {};
    for (const phase &current : load.phases) {
        const double slots = static_cast<double>(load.slots);
        const double highRate = current.highLoad * slots / shortMean; // per microsecond
        const double lowRate = current.lowLoad * slots / lowMean;
        const double end = static_cast<double>(current.length.count());
        double time = exponential(random) / (highRate + lowRate);
        while (time < end) {
            const bool isHigh = random.uniform01() * (highRate + lowRate) < highRate;
            jobs.push_back(planJob(load, isHigh ? 0 : 1, start + microseconds(time), random));
            time += exponential(random) / (highRate + lowRate);
        }
        start += current.length;
    }
    return jobs;
}

// Simulates one upstream with its queue. With an admission policy, deadlines are enforced as in the
// agent: before queueing, while queued and right before dispatch.
class upstream_simulation
{
public:
    upstream_simulation(std::span<const planned_job> jobs, std::size_t slots,
                        slot_scheduler &scheduler, const admission_policy *admission)
        : m_jobs(jobs), m_slots(slots), m_scheduler(scheduler), m_admission(admission),
          m_outcomes(jobs.size()), m_predictions(jobs.size())
    { }

    std::vector<job_outcome> run()
    {
        std::size_t next = 0;
        while (next < m_jobs.size() || !m_running.empty()) {
            const auto first = std::ranges::min_element(m_running, {}, &running_job::end);
            const bool arrival = next < m_jobs.size()
                    && (first == m_running.end() || m_jobs[next].arrival < first->end);
            m_now = arrival ? m_jobs[next].arrival : first->end;
            expire();
            if (arrival)
                admit(next++);
            else
                complete(first);
            dispatch();
        }
        return std::move(m_outcomes);
    }

private:
    struct running_job
    {
        std::size_t index = 0;
        time_point start;
        time_point end;
    };
    using expiry = std::pair<time_point, std::size_t>;

    void admit(std::size_t index)
    {
        const planned_job &job = m_jobs[index];
        m_predictions[index] = job.isUnknown ? 0us : m_estimator.predict("order", job.path);
        const duration predicted = m_predictions[index];
        if (m_admission != nullptr) {
            const duration wait = m_scheduler.expectedWait(job.priority, predicted, runningTotals(),
                                                           m_slots, m_now);
            const admission_request request { .now = m_now,
                                              .deadline = job.deadline,
                                              .expectedWait = wait,
                                              .expectedService = predicted,
                                              .priority = job.priority,
                                              .queued = m_scheduler.size(),
                                              .freeMemory = 1 << 30 };
            if (m_admission->refusal(request).has_value())
                return;
            m_expiries.emplace(job.deadline, index);
        }
        m_scheduler.enqueue({ job_id { index }, job.priority, predicted, m_now, job.deadline });
    }

    void expire()
    {
        while (!m_expiries.empty() && m_expiries.top().first <= m_now) {
            m_scheduler.remove(job_id { m_expiries.top().second });
            m_expiries.pop();
        }
    }

    void complete(std::vector<running_job>::iterator job)
    {
        const planned_job &planned = m_jobs[job->index];
        job_outcome &outcome = m_outcomes[job->index];
        outcome.answered = true;
        outcome.finished = m_now;
        if (!planned.isUnknown)
            m_estimator.record("order", planned.path, planned.service);
        m_running.erase(job);
    }

    void dispatch()
    {
        while (const auto id = m_scheduler.dequeue(runningTotals(), m_slots, m_now)) {
            const std::size_t index = toInteger(*id);
            m_outcomes[index].wait = m_now - m_jobs[index].arrival;
            m_running.push_back({ index, m_now, m_now + m_jobs[index].service });
        }
    }

    std::span<const duration> runningTotals()
    {
        m_totals.clear();
        for (const running_job &job : m_running)
            m_totals.push_back(predictTotalServiceTime(m_predictions[job.index], m_now - job.start,
                                                       m_estimator.mean()));
        return m_totals;
    }

    std::span<const planned_job> m_jobs;
    std::size_t m_slots;
    slot_scheduler &m_scheduler;
    const admission_policy *m_admission;
    service_time_estimator m_estimator;
    time_point m_now;
    std::vector<running_job> m_running;
    std::vector<duration> m_totals;
    std::vector<job_outcome> m_outcomes;
    std::vector<duration> m_predictions;
    std::priority_queue<expiry, std::vector<expiry>, std::greater<>> m_expiries;
};

std::vector<job_outcome> simulate(std::span<const planned_job> jobs, std::size_t slots,
                                  std::string_view scheduler, bool admission)
{
    const deadline_admission_policy policy;
    const auto order = makeScheduler(scheduler);
    return upstream_simulation(jobs, slots, *order, admission ? &policy : nullptr).run();
}

double toMilliseconds(duration value)
{
    return static_cast<double>(value.count()) / 1e3;
}

// Quantile in milliseconds; 0 without samples.
double quantile(std::vector<duration> &values, double probability)
{
    if (values.empty())
        return 0.0;
    const auto last = static_cast<double>(values.size() - 1);
    const auto nth = values.begin() + std::llround(probability * last);
    std::ranges::nth_element(values, nth);
    return toMilliseconds(*nth);
}

double meanOf(std::span<const duration> values)
{
    double sum = 0.0;
    for (const duration value : values)
        sum += toMilliseconds(value);
    return values.empty() ? 0.0 : sum / static_cast<double>(values.size());
}

std::vector<duration> waitsOf(std::span<const planned_job> jobs,
                              std::span<const job_outcome> outcomes, job_group group)
{
    std::vector<duration> waits;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        if (outcomes[i].answered && groupOf(jobs[i]) == group)
            waits.push_back(outcomes[i].wait);
    }
    return waits;
}

workload steadyWorkload(std::size_t slots, double longShare, prediction lengths, variation shape)
{
    const double mean = shortMean * (1.0 + longShare * (longFactor - 1.0));
    const double length =
            static_cast<double>(plannedJobs) * mean / (steadyLoad * static_cast<double>(slots));
    // All jobs have the same priority, so that only their lengths affect the order.
    return { slots, { { microseconds(length), 0.0, steadyLoad } }, longShare, lengths, shape };
}

struct steady_scenario
{
    const char *name;
    double longShare;
    prediction lengths;
};

constexpr steady_scenario steadyScenarios[] = {
    { "no stragglers", 0.0, prediction::known },
    { "no stragglers, 10% of lengths unknown", 0.0, prediction::unknownPaths },
    { "0.1% stragglers", 0.001, prediction::known },
    { "1% stragglers", 0.01, prediction::known },
    { "2% stragglers", 0.02, prediction::known },
    { "1% stragglers, unknown like 10% of the short jobs", 0.01, prediction::unknownPaths },
    { "1% stragglers, predicted as short", 0.01, prediction::wrong },
};

std::vector<duration> concatenate(std::vector<duration> first, std::span<const duration> second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

void compareSteadyLoad(std::uint64_t seed, std::size_t slots, variation shape)
{
    std::printf("\n### Waits at 70%% load, %zu slots, %s service times\n\n", slots,
                shape == variation::exponential ? "exponential" : "moderately varying");
    std::printf(
            "Waits in ms. The ratios compare the p99 wait of all short work, and of short work of "
            "known length, with that of the\nsame scheduler without stragglers. The extra delay "
            "is the mean wait of long work minus that of fifo.\n\n");
    std::printf(
            "| workload | scheduler | short p50 | short p99 | short p99.9 | ratio | ratio, known "
            "length | long p50 | long p99 | long extra delay | unfinished |\n"
            "|---|---|---|---|---|---|---|---|---|---|---|\n");
    std::map<std::string_view, double> baselineP99;
    for (const steady_scenario &scenario : steadyScenarios) {
        seeded_random random(seed);
        const auto jobs =
                plan(steadyWorkload(slots, scenario.longShare, scenario.lengths, shape), random);
        double fifoMean = 0.0;
        for (const std::string_view name : schedulerNames) {
            const auto outcomes = simulate(jobs, slots, name, false);
            auto knownWaits = waitsOf(jobs, outcomes, job_group::knownShort);
            auto shortWaits =
                    concatenate(knownWaits, waitsOf(jobs, outcomes, job_group::unknownShort));
            auto longWaits = waitsOf(jobs, outcomes, job_group::straggler);
            const double p99 = quantile(shortWaits, 0.99);
            baselineP99.emplace(name, p99); // keeps the value of the first workload
            const double base = baselineP99.at(name);
            if (name == "fifo")
                fifoMean = meanOf(longWaits);
            std::printf(
                    "| %s | %s | %.1f | %.1f | %.1f | %.2f | %.2f | %.0f | %.0f | %.0f | %zu |\n",
                    scenario.name, name.data(), quantile(shortWaits, 0.5), p99,
                    quantile(shortWaits, 0.999), p99 / base, quantile(knownWaits, 0.99) / base,
                    quantile(longWaits, 0.5), quantile(longWaits, 0.99),
                    meanOf(longWaits) - fifoMean,
                    jobs.size() - shortWaits.size() - longWaits.size());
        }
    }
}

struct goodput
{
    double requestsPerSecond = 0.0;
    double slotShare = 0.0; // slot time of jobs within their deadline, relative to all slot time
    std::array<double, 2> withinDeadline {}; // share of the short jobs, by priority
    double longWithinDeadline = 0.0;
};

goodput measureGoodput(std::span<const planned_job> jobs, std::span<const job_outcome> outcomes,
                       std::size_t slots)
{
    std::array<double, 3> offered {};
    std::array<double, 3> useful {};
    double requests = 0.0;
    double work = 0.0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const std::size_t group = jobs[i].isLong ? 2 : jobs[i].priority;
        ++offered[group];
        if (!outcomes[i].answered || outcomes[i].finished > jobs[i].deadline)
            continue;
        ++useful[group];
        ++requests;
        work += toMilliseconds(jobs[i].service);
    }
    const auto share = [&](std::size_t group) {
        return offered[group] > 0.0 ? useful[group] / offered[group] : 1.0;
    };
    const double length = toMilliseconds(jobs.back().arrival - jobs.front().arrival);
    return { requests / length * 1e3,
             work / (length * static_cast<double>(slots)),
             { share(0), share(1) },
             share(2) };
}

// fifo without admission is the baseline of an upstream without this scheduling.
struct scheduler_setup
{
    std::string_view scheduler;
    bool admission;
};

constexpr scheduler_setup schedulerSetups[] = {
    { "fifo", false },          { "fifo", true },
    { "reserved-slot", true },  { "shortest-expected", true },
    { "priority-lanes", true },
};

constexpr std::array<double, 2> longShares { 0.0, 0.01 };

void compareOverload(std::uint64_t seed, std::size_t slots)
{
    std::printf("\n### Overload, %zu slots\n\n", slots);
    std::printf("Useful throughput: requests per second that were answered within the deadline, at "
                "capacity and at twice capacity;\nin brackets the share of the slot time that they "
                "used. 0.5 of the capacity is high-priority work, the rest low-priority.\n\n");
    std::printf("| stragglers in low priority | scheduler | useful at 1x | useful at 2x | ratio of "
                "requests | ratio of slot time | high in time at 2x | low in time at 2x | long in "
                "time at 2x |\n|---|---|---|---|---|---|---|---|---|\n");
    for (const double longShare : longShares) {
        for (const auto &[name, admission] : schedulerSetups) {
            std::array<goodput, 2> results;
            for (std::size_t i = 0; i < results.size(); ++i) {
                seeded_random random(seed);
                const double lowLoad = i == 0 ? 0.5 : 1.5;
                const auto jobs = plan({ slots, { { 300s, 0.5, lowLoad } }, longShare }, random);
                results[i] = measureGoodput(jobs, simulate(jobs, slots, name, admission), slots);
            }
            const auto &[once, twice] = results;
            std::printf("| %.0f%% | %s%s | %.1f (%.2f) | %.1f (%.2f) | %.2f | %.2f | %.2f%% | "
                        "%.1f%% | %.1f%% |\n",
                        longShare * 100, name.data(), admission ? "" : ", no admission",
                        once.requestsPerSecond, once.slotShare, twice.requestsPerSecond,
                        twice.slotShare, twice.requestsPerSecond / once.requestsPerSecond,
                        twice.slotShare / once.slotShare, twice.withinDeadline[0] * 100,
                        twice.withinDeadline[1] * 100, twice.longWithinDeadline * 100);
        }
    }
}

constexpr duration beforeBurst = 10s;
constexpr duration burstLength = 2s;
constexpr duration afterBurst = 20s;
constexpr duration windowLength = 250ms;
constexpr int burstRuns = 60; // pooled, so that each window has enough samples for a p99

struct burst_result
{
    std::array<double, 2> offered {}; // short jobs during the burst, by priority
    std::array<double, 2> useful {};
    std::vector<duration> waitsBefore;
    std::map<long, std::vector<duration>> waitsAfter; // by window, short work
};

void collectBurst(burst_result &result, std::span<const planned_job> jobs,
                  std::span<const job_outcome> outcomes)
{
    constexpr time_point burstStart { beforeBurst };
    constexpr time_point burstEnd = burstStart + burstLength;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const planned_job &job = jobs[i];
        const job_outcome &outcome = outcomes[i];
        if (job.isLong)
            continue;
        if (job.arrival >= burstStart && job.arrival < burstEnd) {
            ++result.offered[job.priority];
            result.useful[job.priority] += outcome.answered && outcome.finished <= job.deadline;
        }
        if (!outcome.answered)
            continue;
        if (job.arrival < burstStart)
            result.waitsBefore.push_back(outcome.wait);
        else if (job.arrival >= burstEnd)
            result.waitsAfter[(job.arrival - burstEnd) / windowLength].push_back(outcome.wait);
    }
}

// Seconds after the burst until the p99 wait of a window is at most 1.1 times the p99 wait before
// the burst.
double recoverySeconds(burst_result &result)
{
    const double limit = 1.1 * quantile(result.waitsBefore, 0.99);
    for (auto &[window, waits] : result.waitsAfter) {
        if (quantile(waits, 0.99) <= limit)
            return static_cast<double>(window) * toMilliseconds(windowLength) / 1e3;
    }
    return toMilliseconds(afterBurst) / 1e3;
}

void compareBurst(std::uint64_t seed, std::size_t slots)
{
    std::printf("\n### Burst of five times the load for 2 s, %zu slots\n\n", slots);
    std::printf("70%% load before and after, half of it high-priority; in the burst 0.7 of the "
                "capacity is high-priority and 2.8 low-priority.\n%d runs.\n\n",
                burstRuns);
    std::printf("| stragglers in low priority | scheduler | high in time | low in time | short p99 "
                "before, ms | recovery, s |\n|---|---|---|---|---|---|\n");
    for (const double longShare : longShares) {
        for (const auto &[name, admission] : schedulerSetups) {
            burst_result result;
            for (int run = 0; run < burstRuns; ++run) {
                seeded_random random(seed * 1000 + static_cast<std::uint64_t>(run));
                const auto jobs = plan({ slots,
                                         { { beforeBurst, 0.35, 0.35 },
                                           { burstLength, 0.7, 2.8 },
                                           { afterBurst, 0.35, 0.35 } },
                                         longShare },
                                       random);
                collectBurst(result, jobs, simulate(jobs, slots, name, admission));
            }
            const double recovery = recoverySeconds(result);
            std::printf("| %.0f%% | %s%s | %.2f%% | %.1f%% | %.1f | %.2f |\n", longShare * 100,
                        name.data(), admission ? "" : ", no admission",
                        100 * result.useful[0] / result.offered[0],
                        100 * result.useful[1] / result.offered[1],
                        quantile(result.waitsBefore, 0.99), recovery);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Compares slot schedulers in virtual time");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of all random numbers", false, 1,
                                        "number", command);
    command.parse(argc, argv);

    std::printf("## Scheduling on one upstream, seed %llu\n\n",
                static_cast<unsigned long long>(seed.getValue()));
    std::printf("Poisson arrivals. Short jobs take 10 ms on average (three paths of 5, 10 and 15 "
                "ms); stragglers take 100 times as long.\nDeadlines: high priority 500 ms, low "
                "priority 2 s, stragglers 30 s.\n");
    for (const std::size_t slots : { 2, 4 }) {
        compareSteadyLoad(seed.getValue(), slots, variation::exponential);
        compareSteadyLoad(seed.getValue(), slots, variation::moderate);
        compareOverload(seed.getValue(), slots);
        compareBurst(seed.getValue(), slots);
    }
    return 0;
}
