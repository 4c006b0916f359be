#include "oriolehold/flow/overload_refusal.h"

#include "oriolehold/flow/admission_control.h"
#include "oriolehold/flow/hold_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;

constexpr double concurrencyUnit = 1000.0; // the limit is reported in thousandths
// For each packet that an agent refuses although it was forecast to be in time. The spread reaches
// that of 26 instances within the first 13 refusals.
constexpr double refusedFactor = 1.3;
// For each report: the spread grows when the reported wait exceeds this fraction of the longest one
// that an agent admits, and falls below it. A lower fraction leaves upstreams idle for more of the
// time, a higher one makes agents refuse more.
constexpr double targetFill = 0.8;
constexpr double reportGain = 0.02;
// At the beginning of an overload all reports state the longest wait, or more for routes with a
// shorter objective. With 1.5 the spread grew to three times its value, and upstreams were idle.
constexpr double maxFill = 1.0;
// More entry instances than a deployment has.
constexpr double maxSpread = 100;
constexpr std::size_t positionSteps = 1000;

// Whether the agent reports waits.
bool isLimited(const known_upstream &item, base::time_point now)
{
    return item.capacity.limitsWaits() && now - item.capacityAt <= overload_refusal::reportLifetime;
}

// An agent or upstream that does not answer takes no flows, whatever it reported.
bool isHeard(const known_upstream &item, base::time_point now)
{
    return upstream_directory::isHeard(item, now) && item.report.responsive;
}

// The upstream is new here, and its agent may report soon.
bool hasJustStarted(const known_upstream &item, base::time_point now)
{
    return item.reportedAt == base::time_point {}
    && now - item.heardAt < upstream_directory::agentTimeout;
}

// The agent has told that it does not limit the upstream any more. It takes a share of the packets
// like the others, or all entry instances would send there what the others cannot take.
bool hasEndedLimit(const known_upstream &item, base::time_point now)
{
    return !item.capacity.limitsWaits() && item.capacityAt != base::time_point {}
    && now - item.capacityAt < capacity_report::lifetime;
}

// Arrival of the report that the forecast begins with.
base::time_point forecastStart(const known_upstream &item, base::time_point now)
{
    return isLimited(item, now) ? item.capacityAt : item.reportedAt;
}

// Until the begin of a request that arrived with the report.
base::duration reportedWait(const known_upstream &item, const packet_tag &tag, base::time_point now)
{
    if (!isLimited(item, now))
        return {};
    return std::chrono::milliseconds { item.capacity.expectedWait[tag.priority] }
    - item.report.meanServiceTime;
}

// Time from one request to the next that the upstream begins when all places are taken.
base::duration interval(const known_upstream &item)
{
    const double places = item.capacity.concurrency > 0
            ? std::max(item.capacity.concurrency / concurrencyUnit, 1.0)
            : item.record.slots + hold_queue::upstreamQueueLimit;
    return std::chrono::duration_cast<base::duration>(item.report.meanServiceTime / places);
}

double ratio(base::duration value, base::duration unit)
{
    return static_cast<double>(value.count()) / static_cast<double>(unit.count());
}

} // namespace

double overload_refusal::spread(std::string_view service) const
{
    const auto found = m_spreads.find(std::string(service));
    return found == m_spreads.end() ? 1.0 : found->second;
}

void overload_refusal::multiply(const std::string &service, double factor)
{
    const double value = std::min(spread(service) * factor, maxSpread);
    if (value > 1.0)
        m_spreads[service] = value;
    else
        m_spreads.erase(service);
}

void overload_refusal::update(known_upstream &upstream, const packet_tag &tag, base::time_point now)
{
    const base::time_point reportedAt = forecastStart(upstream, now);
    if (upstream.forecast.drawnFor == reportedAt)
        return;
    upstream.forecast.drawnFor = reportedAt;
    upstream.forecast.position = static_cast<double>(m_random.below(positionSteps)) / positionSteps;
    const base::duration mean = upstream.report.meanServiceTime;
    const base::duration longest = std::max<base::duration>(
            { admission_control::longestBegin(tag, mean), interval(upstream), 1ms });
    const double fill = ratio(reportedWait(upstream, tag, now), longest);
    multiply(upstream.record.service,
             std::exp(reportGain * (std::clamp(fill, 0.0, maxFill) - targetFill)));
}

bool overload_refusal::isInTime(known_upstream &upstream, const packet_tag &tag,
                                base::time_point now)
{
    if (!isLimited(upstream, now) && !hasEndedLimit(upstream, now))
        return true;
    update(upstream, tag, now);
    if (upstream.avoidUntil > now)
        return false;
    const std::uint32_t assigned = isLimited(upstream, now) ? upstream.assignedSinceCapacity
                                                            : upstream.assignedSinceReport;
    const double ahead = spread(upstream.record.service) * (upstream.forecast.position + assigned);
    const base::duration begin = reportedWait(upstream, tag, now)
            - (now - forecastStart(upstream, now))
            + std::chrono::duration_cast<base::duration>(interval(upstream) * ahead);
    return begin <= std::max(admission_control::longestBegin(tag, upstream.report.meanServiceTime),
                             base::duration::zero());
}

overload_refusal::choice overload_refusal::choose(std::span<known_upstream *const> candidates,
                                                  const packet_tag &tag, base::time_point now)
{
    const auto limited = [now](const known_upstream *item) {
        return isHeard(*item, now) && isLimited(*item, now);
    };
    choice result { { candidates.begin(), candidates.end() } };
    if (std::ranges::none_of(candidates, limited))
        return result;
    std::erase_if(result.upstreams, [&](known_upstream *item) {
        return !isHeard(*item, now) || !isInTime(*item, tag, now);
    });
    if (!result.upstreams.empty())
        return result;
    result.upstreams.assign(candidates.begin(), candidates.end());
    result.refuses = std::ranges::none_of(
            candidates, [now](const known_upstream *item) { return hasJustStarted(*item, now); });
    result.expectedWait = base::duration::max();
    for (const known_upstream *item : candidates) {
        if (limited(item))
            result.expectedWait = std::min<base::duration>(
                    result.expectedWait,
                    std::chrono::milliseconds { item->capacity.expectedWait[tag.priority] });
    }
    return result;
}

void overload_refusal::refused(const known_upstream &upstream, base::time_point now)
{
    if (isLimited(upstream, now))
        multiply(upstream.record.service, refusedFactor);
}

} // namespace oriolehold::flow
