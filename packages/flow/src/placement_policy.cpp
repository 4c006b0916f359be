#include "oriolehold/flow/placement_policy.h"

#include <algorithm>
#include <vector>

namespace oriolehold::flow {

namespace {

// Requests are reported in thousandths.
constexpr double reportUnit = 1000.0;
// Part of a slot that a new flow is expected to keep busy until the next report.
constexpr double assignedLoad = 0.5;
// Penalty for another zone, in load per slot. Below it bytes stay in the zone; above it a shorter
// queue is worth more.
constexpr double zonePenalty = 0.15;
// A cold upstream works slower by about this factor.
constexpr double coldFactor = 1.6;
// An agent that is silent for so long is likely unreachable.
constexpr std::chrono::milliseconds reportTimeout { 900 };
// Bounds of an upstream's time for a request relative to the others. The measured time includes
// waits and a few long requests, so it is not trusted beyond them.
constexpr double fastestFactor = 0.4;
constexpr double slowestFactor = 2.5;
constexpr std::size_t sampleSize = 2;

double expectedLoad(const known_upstream &item, base::time_point now)
{
    const double slots = std::max<double>(item.record.slots, 1.0);
    const double mean = item.report.meanRunning / reportUnit;
    const double present = item.report.running;
    double load = ((mean + present) / 2 + assignedLoad * item.assignedSinceReport) / slots;
    if (item.warmUpEndsAt > now)
        load = (load + assignedLoad / slots) * coldFactor;
    return load;
}

// Whether the agent or its upstream does not answer, or refused a flow shortly before.
bool isAvoided(const known_upstream &item, base::time_point now)
{
    return item.avoidUntil > now || !item.report.responsive
            || item.reportedAt == base::time_point {} || now - item.reportedAt > reportTimeout;
}

double serviceTime(const known_upstream &item)
{
    return static_cast<double>(item.report.meanServiceTime.count());
}

// Mean over the upstreams that have answered requests; 0 when none has.
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

// Time that a new request likely takes, per slot; an idle upstream of mean speed has 1 / slots.
double expectedTime(const known_upstream &item, double mean, base::time_point now)
{
    const double own = serviceTime(item);
    const double factor =
            own > 0 && mean > 0 ? std::clamp(own / mean, fastestFactor, slowestFactor) : 1.0;
    return (expectedLoad(item, now) + 1.0 / std::max<double>(item.record.slots, 1.0)) * factor;
}

} // namespace

std::span<known_upstream *const> expected_time_policy::sample(std::span<known_upstream *> pool)
{
    const std::size_t count = std::min(pool.size(), sampleSize);
    for (std::size_t i = 0; i < count; ++i)
        std::swap(pool[i], pool[i + m_random.below(pool.size() - i)]);
    return pool.first(count);
}

known_upstream *expected_time_policy::choose(std::span<known_upstream *const> candidates,
                                             std::string_view zone, base::time_point now)
{
    std::vector<known_upstream *> pool(candidates.begin(), candidates.end());
    std::erase_if(pool, [now](const known_upstream *item) { return isAvoided(*item, now); });
    if (pool.empty()) // one that is avoided is still better than none
        pool.assign(candidates.begin(), candidates.end());
    const double mean = meanServiceTime(candidates);
    const auto cost = [&](const known_upstream *item) {
        return expectedTime(*item, mean, now) + (item->record.zone == zone ? 0.0 : zonePenalty);
    };
    const auto sampled = sample(pool);
    const auto best = std::ranges::min_element(sampled, {}, cost);
    return best == sampled.end() ? nullptr : *best;
}

} // namespace oriolehold::flow
