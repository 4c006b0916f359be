#include "oriolehold/flow/placement_policy.h"

#include <algorithm>
#include <limits>

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
// Upper end of the random part, in load per slot; keeps entry instances with the same reports from
// choosing the same upstream.
constexpr double spread = 0.10;
// An agent that is silent for so long is likely unreachable.
constexpr std::chrono::milliseconds silenceLimit { 900 };
// Penalty for upstreams that likely refuse or are unreachable, in load per slot; larger than any
// load.
constexpr double avoidancePenalty = 100.0;

double expectedLoad(const known_upstream &item, base::time_point now)
{
    const double slots = std::max<double>(item.record.slots, 1.0);
    const double mean = item.report.meanRunning / reportUnit;
    const double present = item.report.running;
    double load = ((mean + present) / 2 + assignedLoad * item.assignedSinceReport) / slots;
    if (item.warmUntil > now)
        load = (load + assignedLoad / slots) * coldFactor;
    return load;
}

// Whether the agent or its upstream does not answer, or refused a flow shortly before.
bool isAvoided(const known_upstream &item, base::time_point now)
{
    return item.avoidUntil > now || !item.report.responsive
            || item.reportedAt == base::time_point {} || now - item.reportedAt > silenceLimit;
}

} // namespace

known_upstream *least_load_policy::choose(std::span<known_upstream *const> candidates,
                                          std::string_view zone, base::time_point now)
{
    known_upstream *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (known_upstream *item : candidates) {
        const double cost = expectedLoad(*item, now)
                + (item->record.zone == zone ? 0.0 : zonePenalty)
                + (isAvoided(*item, now) ? avoidancePenalty : 0.0) + spread * m_random.unit();
        if (cost < bestCost) {
            bestCost = cost;
            best = item;
        }
    }
    return best;
}

} // namespace oriolehold::flow
