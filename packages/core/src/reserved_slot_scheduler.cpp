#include "oriolehold/core/reserved_slot_scheduler.h"

#include "internal/wait_estimate.h"
#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <iterator>

namespace oriolehold::core {

void reserved_slot_scheduler::enqueue(const waiting_job &job)
{
    m_lengths.observe(job.expectedService);
    const queue_position position { m_lengths.isLong(job.expectedService), m_nextSequence++ };
    const bool inserted = m_positions.emplace(job.id, position).second;
    ORIOLEHOLD_INVARIANT(inserted, "a job is queued once");
    lane &target = laneOf(position.isLong);
    target.queue.emplace(position.sequence, job);
    target.work += job.expectedService;
}

bool reserved_slot_scheduler::remove(job_id id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end())
        return false;
    lane &source = laneOf(found->second.isLong);
    const auto job = source.queue.find(found->second.sequence);
    source.work -= job->second.expectedService;
    source.queue.erase(job);
    m_positions.erase(found);
    return true;
}

std::optional<job_id> reserved_slot_scheduler::dequeue(std::span<const duration> running,
                                                       std::size_t slots, time_point /*now*/)
{
    if (running.size() >= slots)
        return std::nullopt;
    const auto longRunning = static_cast<std::size_t>(std::ranges::count_if(
            running, [this](duration total) { return m_lengths.isLong(total); }));
    const bool longReady = !m_long.queue.empty() && (slots == 1 || longRunning + 1 < slots);
    const bool shortReady = !m_short.queue.empty();
    if (!longReady && !shortReady)
        return std::nullopt;

    const bool longFirst = longReady
            && (!shortReady || m_long.queue.begin()->first < m_short.queue.begin()->first);
    const job_id next = laneOf(longFirst).queue.begin()->second.id;
    remove(next);
    return next;
}

duration reserved_slot_scheduler::expectedWait(std::uint8_t /*priority*/, duration expectedService,
                                               std::span<const duration> running, std::size_t slots,
                                               time_point /*now*/) const
{
    const duration unknown = m_lengths.lowerQuartile();
    const duration shared = internal::estimateWait(m_short.work, running, slots, unknown);
    if (!m_lengths.isLong(expectedService))
        return shared;
    std::vector<duration> longRunning;
    std::ranges::copy_if(running, std::back_inserter(longRunning),
                         [this](duration total) { return m_lengths.isLong(total); });
    const std::size_t longSlots = std::max<std::size_t>(slots, 2) - 1;
    return std::max(shared, internal::estimateWait(m_long.work, longRunning, longSlots, unknown));
}

} // namespace oriolehold::core
