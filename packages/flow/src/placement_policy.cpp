#include "oriolehold/flow/placement_policy.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace oriolehold::flow {

namespace {

// The mean number of requests is reported in thousandths.
constexpr double reportUnit = 1000.0;
// Fraction of a slot that a new flow is expected to use until the next report.
constexpr double assignedLoad = 0.5;
// Penalty for another zone, in load per slot. A smaller difference in load does not justify traffic
// between zones; for a larger one the shorter queue is preferred.
constexpr double zonePenalty = 0.15;
// An upstream in its warm-up is slower by about this factor.
constexpr double coldFactor = 1.6;
// An agent without a report for this time is probably unreachable.
constexpr std::chrono::milliseconds reportTimeout { 900 };
// Limits of an upstream's time for a request relative to the mean of all candidates. The measured
// time includes waits and a few long requests, so larger deviations are not used.
constexpr double fastestFactor = 0.4;
constexpr double slowestFactor = 2.5;
constexpr std::uint64_t shareSteps = 1000; // of the share of a limited upstream
constexpr std::size_t sampleSize = 2;      // upstreams compared for a new flow

double slotsOf(const known_upstream &item)
{
    return std::max<double>(item.record.slots, 1.0);
}

// Requests that the upstream gets at the same time: the limit of its agent, if there is one.
double concurrencyOf(const known_upstream &item)
{
    return item.capacity.concurrency > 0 ? item.capacity.concurrency / reportUnit : slotsOf(item);
}

// Requests per slot.
double expectedLoad(const known_upstream &item, base::time_point now)
{
    const double slots = concurrencyOf(item);
    const double mean = item.report.meanRunning / reportUnit;
    const double present = item.report.running;
    double load = ((mean + present) / 2 + assignedLoad * item.assignedSinceReport) / slots;
    // An agent that limits the upstream has seen how cold it is.
    if (item.warmUpEndsAt > now && item.capacity.concurrency == 0)
        load = (load + assignedLoad / slots) * coldFactor;
    return load;
}

// Whether the agent or its upstream does not answer, or the upstream refused a flow recently.
bool isAvoided(const known_upstream &item, base::time_point now)
{
    return item.avoidUntil > now || !item.report.responsive
            || item.reportedAt == base::time_point {} || now - item.reportedAt > reportTimeout;
}

// Whether the agent limits the opening packets for its upstream.
bool isLimited(const known_upstream &item, base::time_point now)
{
    return item.capacity.openingRoom != capacity_report::unlimited
            && now - item.capacityAt < capacity_report::lifetime;
}

bool isFull(const known_upstream &item, base::time_point now)
{
    return isLimited(item, now) && item.assignedSinceCapacity >= item.capacity.openingRoom;
}

// Microseconds; 0 when unknown.
double serviceTime(const known_upstream &item)
{
    return static_cast<double>(item.report.meanServiceTime.count());
}

// Mean over the upstreams that have answered requests, in microseconds; 0 when none has.
double meanServiceTime(std::span<known_upstream *const> candidates)
{
    double sum = 0.0;
    std::size_t count = 0;
    for (const known_upstream *item : candidates) {
        sum += serviceTime(*item);
        count += serviceTime(*item) > 0 ? 1 : 0;
    }
    return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

// Expected time of a new request, relative to the mean time of one request in one slot. An idle
// upstream of mean speed has 1 / slots.
double expectedTime(const known_upstream &item, double mean, base::time_point now)
{
    const double own = serviceTime(item);
    const double factor =
            own > 0 && mean > 0 ? std::clamp(own / mean, fastestFactor, slowestFactor) : 1.0;
    return (expectedLoad(item, now) + 1.0 / slotsOf(item)) * factor;
}

} // namespace

std::span<known_upstream *const> expected_time_policy::sample(std::span<known_upstream *> pool)
{
    const std::size_t count = std::min(pool.size(), sampleSize);
    for (std::size_t i = 0; i < count; ++i)
        std::swap(pool[i], pool[i + m_random.below(pool.size() - i)]);
    return pool.first(count);
}

bool expected_time_policy::passesDraw(double probability)
{
    constexpr std::size_t steps = 100'000;
    return static_cast<double>(m_random.below(steps)) < probability * steps;
}

void expected_time_policy::dropBeyondLimits(std::vector<known_upstream *> &pool)
{
    if (std::ranges::all_of(pool, [](const auto *item) { return item->capacity.concurrency == 0; }))
        return;
    std::vector<known_upstream *> rest;
    std::ranges::copy_if(pool, std::back_inserter(rest), [this](const known_upstream *item) {
        const double share = concurrencyOf(*item) / slotsOf(*item);
        return share >= 1.0 || static_cast<double>(m_random.below(shareSteps)) < share * shareSteps;
    });
    if (!rest.empty())
        pool = std::move(rest);
}

known_upstream *expected_time_policy::choose(std::span<known_upstream *const> candidates,
                                             std::string_view zone, base::time_point now)
{
    std::vector<known_upstream *> pool(candidates.begin(), candidates.end());
    std::erase_if(pool, [now](const known_upstream *item) {
        return isAvoided(*item, now) || isFull(*item, now);
    });
    const std::vector<known_upstream *> withRoom = pool;
    std::erase_if(pool, [&](const known_upstream *item) {
        return isLimited(*item, now) && !passesDraw(item->share.probability());
    });
    if (pool.empty())
        pool = withRoom;
    if (pool.empty()) // an avoided upstream is better than none
        pool.assign(candidates.begin(), candidates.end());
    dropBeyondLimits(pool);
    const double mean = meanServiceTime(candidates);
    const auto cost = [&](const known_upstream *item) {
        return expectedTime(*item, mean, now) + (item->record.zone == zone ? 0.0 : zonePenalty);
    };
    const auto sampled = sample(pool);
    const auto best = std::ranges::min_element(sampled, {}, cost);
    return best == sampled.end() ? nullptr : *best;
}

} // namespace oriolehold::flow
