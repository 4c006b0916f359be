#include "oriolehold/core/priority_lane_scheduler.h"

#include "internal/wait_estimate.h"
#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <cmath>

namespace oriolehold::core {

namespace {

constexpr double arrivalSmoothing = 0.02; // weight of the newest arrival
constexpr double maxIdleGaps = 16.0;      // mean gaps without an arrival until none is likely
// A job of unknown length is assumed to run for up to this many times the lower quartile.
constexpr duration::rep unknownLengthFactor = 100;

} // namespace

void priority_lane_scheduler::arrival_tracker::observe(time_point now, duration length)
{
    if (count > 0) {
        const double weight = std::max(arrivalSmoothing, 1.0 / static_cast<double>(count));
        meanGap += weight * (static_cast<double>((now - last).count()) - meanGap);
    }
    ++count;
    const double weight = std::max(arrivalSmoothing, 1.0 / static_cast<double>(count));
    meanLength += weight * (static_cast<double>(length.count()) - meanLength);
    last = now;
}

bool priority_lane_scheduler::arrival_tracker::isArrivalLikely(time_point now,
                                                               duration horizon) const
{
    if (count < 2)
        return false;
    const double silence = static_cast<double>((now - last).count());
    return silence <= maxIdleGaps * meanGap && meanGap <= static_cast<double>(horizon.count());
}

double priority_lane_scheduler::arrival_tracker::load() const
{
    return count < 2 ? 0.0 : meanLength / std::max(meanGap, 1.0);
}

priority_lane_scheduler::priority_lane_scheduler(priority_lane_options options) : m_options(options)
{ }

void priority_lane_scheduler::enqueue(const waiting_job &job)
{
    m_lengths.observe(job.expectedService);
    queued_job queued;
    queued.priority = job.priority;
    queued.arrival = job.arrival;
    if (job.expectedService <= duration::zero()) {
        queued.kind = lane::unknownWork;
        queued.length = m_lengths.lowerQuartile();
    } else {
        queued.kind = m_lengths.isLong(job.expectedService) ? lane::longWork : lane::shortWork;
        queued.length = job.expectedService;
    }

    const std::uint64_t sequence = m_nextSequence++;
    if (queued.kind == lane::longWork) {
        const auto ageingTime = m_options.longAgeing * (job.priority + 1) * queued.length;
        queued.key = { std::uint8_t { 0 }, job.arrival + ageingTime, sequence };
        m_longWork += queued.length;
    } else {
        queued.key = { job.priority, job.arrival + m_options.shortAgeing * queued.length,
                       sequence };
        m_shortWork[job.priority] += queued.length;
        if (queued.kind == lane::unknownWork)
            m_unknownWork += queued.length;
        m_shortArrivals.observe(job.arrival, queued.length);
        if (queued.kind == lane::shortWork)
            m_knownArrivals.observe(job.arrival, queued.length);
    }
    queueOf(queued.kind).emplace(queued.key, job.id);
    const bool inserted = m_jobs.emplace(job.id, queued).second;
    ORIOLEHOLD_INVARIANT(inserted, "a job is queued once");
}

bool priority_lane_scheduler::remove(job_id id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return false;
    const queued_job &job = found->second;
    queueOf(job.kind).erase(job.key);
    if (job.kind == lane::longWork)
        m_longWork -= job.length;
    else
        m_shortWork[job.priority] -= job.length;
    if (job.kind == lane::unknownWork)
        m_unknownWork -= job.length;
    m_jobs.erase(found);
    return true;
}

std::optional<job_id> priority_lane_scheduler::dequeue(std::span<const duration> running,
                                                       std::size_t slots, time_point now)
{
    if (m_jobs.empty() || running.size() >= slots)
        return std::nullopt;

    const slot_use use = countRunning(running);
    const bool mayRunAny = running.empty();
    bool mayRunLong = false;
    if (!m_long.empty()) {
        const queued_job &first = m_jobs.at(m_long.begin()->second);
        const wait_stage stage = waitStageOf(first, now);
        mayRunLong = mayRunAny || use.longJobs < longLimit(first.length, stage, slots, now);
        if (mayRunLong && nextShortPriority().has_value() && takesPrecedence(first, now)) {
            m_nextPrecedence = now + m_options.precedenceGap * first.length;
            return dequeueFrom(m_long);
        }
    }

    const bool unknownReady = !m_unknown.empty()
            && (mayRunAny || use.longJobs + use.unknownJobs < unknownLimit(slots, now));
    if (unknownReady && (m_short.empty() || m_unknown.begin()->first < m_short.begin()->first))
        return dequeueFrom(m_unknown);
    if (!m_short.empty())
        return dequeueFrom(m_short);
    if (mayRunLong)
        return dequeueFrom(m_long);
    return std::nullopt;
}

duration priority_lane_scheduler::expectedWait(std::uint8_t priority, duration expectedService,
                                               std::span<const duration> running, std::size_t slots,
                                               time_point now) const
{
    duration ahead {};
    for (const auto &[level, work] : m_shortWork) {
        if (level <= priority)
            ahead += work;
    }
    const duration shortWait =
            internal::estimateWait(ahead, running, slots, m_lengths.lowerQuartile());
    const bool isLong = m_lengths.isLong(expectedService);
    const bool isUnknown = expectedService <= duration::zero();
    if (!isLong && !isUnknown)
        return shortWait;

    // Long and unknown jobs also wait for one of the slots that they may use.
    std::vector<duration> limited;
    std::ranges::copy_if(running, std::back_inserter(limited), [&](duration total) {
        return m_lengths.isLong(total) || (isUnknown && total <= duration::zero());
    });
    const std::size_t limit = isLong ? longLimit(expectedService, wait_stage::aged, slots, now)
                                     : unknownLimit(slots, now);
    const duration limitedAhead = isLong ? m_longWork : m_unknownWork;
    return std::max(
            shortWait,
            internal::estimateWait(limitedAhead, limited, limit, m_lengths.lowerQuartile()));
}

priority_lane_scheduler::lane_queue &priority_lane_scheduler::queueOf(lane kind)
{
    switch (kind) {
    case lane::shortWork:
        return m_short;
    case lane::unknownWork:
        return m_unknown;
    case lane::longWork:
        break;
    }
    return m_long;
}

priority_lane_scheduler::slot_use
priority_lane_scheduler::countRunning(std::span<const duration> running) const
{
    slot_use use;
    use.longJobs = static_cast<std::size_t>(std::ranges::count_if(
            running, [this](duration total) { return m_lengths.isLong(total); }));
    use.unknownJobs = static_cast<std::size_t>(std::ranges::count_if(
            running, [](duration total) { return total <= duration::zero(); }));
    return use;
}

priority_lane_scheduler::wait_stage priority_lane_scheduler::waitStageOf(const queued_job &longJob,
                                                                         time_point now) const
{
    const duration waited = now - longJob.arrival;
    const duration unit = (longJob.priority + 1) * longJob.length;
    if (waited >= m_options.overdueAgeing * unit)
        return wait_stage::overdue;
    return waited >= m_options.longAgeing * unit ? wait_stage::aged : wait_stage::fresh;
}

// Number of slots that long jobs may use at once.
std::size_t priority_lane_scheduler::longLimit(duration length, wait_stage stage, std::size_t slots,
                                               time_point now) const
{
    const bool shortWaits = !m_short.empty() || !m_unknown.empty();
    if (slots <= 1 || (!shortWaits && !m_shortArrivals.isArrivalLikely(now, length)))
        return slots;
    if (stage == wait_stage::overdue)
        return slots - 1;
    const double headroom =
            stage == wait_stage::aged ? m_options.agedHeadroom : m_options.shortHeadroom;
    const double spare = static_cast<double>(slots) - headroom * m_shortArrivals.load();
    const double least = stage == wait_stage::aged ? 1.0 : 0.0;
    return static_cast<std::size_t>(
            std::clamp(std::floor(spare), least, static_cast<double>(slots - 1)));
}

bool priority_lane_scheduler::takesPrecedence(const queued_job &longJob, time_point now) const
{
    if (now < m_nextPrecedence)
        return false;
    switch (waitStageOf(longJob, now)) {
    case wait_stage::fresh:
        return false;
    case wait_stage::aged:
        return longJob.priority <= nextShortPriority().value_or(longJob.priority);
    case wait_stage::overdue:
        break;
    }
    return true;
}

bool priority_lane_scheduler::expectsKnownShortJobs(time_point now) const
{
    return !m_short.empty()
            || m_knownArrivals.isArrivalLikely(now,
                                               m_lengths.lowerQuartile() * unknownLengthFactor);
}

// Number of slots that long and unknown jobs together may use at once. An unknown job may turn out
// to be long, so it counts as long while known short jobs are waiting or likely to arrive.
std::size_t priority_lane_scheduler::unknownLimit(std::size_t slots, time_point now) const
{
    return expectsKnownShortJobs(now) ? longLimit(m_lengths.lowerQuartile() * unknownLengthFactor,
                                                  wait_stage::aged, slots, now)
                                      : slots;
}

std::optional<std::uint8_t> priority_lane_scheduler::nextShortPriority() const
{
    std::optional<std::uint8_t> priority;
    for (const lane_queue *queue : { &m_short, &m_unknown }) {
        if (queue->empty())
            continue;
        const std::uint8_t first = std::get<std::uint8_t>(queue->begin()->first);
        priority = std::min(priority.value_or(first), first);
    }
    return priority;
}

job_id priority_lane_scheduler::dequeueFrom(lane_queue &queue)
{
    const job_id id = queue.begin()->second;
    remove(id);
    return id;
}

} // namespace oriolehold::core
