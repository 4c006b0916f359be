#include "oriolehold/core/shortest_expected_scheduler.h"

#include "internal/wait_estimate.h"
#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <bit>
#include <numeric>

namespace oriolehold::core {

namespace {

constexpr int ageingFactor = 20; // times its length that a job may wait for later, shorter jobs

} // namespace

std::size_t shortest_expected_scheduler::bucketOf(duration length)
{
    const auto microseconds =
            static_cast<std::uint64_t>(std::max<duration::rep>(length.count(), 0));
    return std::min<std::size_t>(std::bit_width(microseconds), bucketCount - 1);
}

void shortest_expected_scheduler::enqueue(const waiting_job &job)
{
    const order_key key { job.arrival + ageingFactor * job.expectedService, m_nextSequence++ };
    const queue_position position { key, bucketOf(job.expectedService), job.expectedService };
    const bool inserted = m_positions.emplace(job.id, position).second;
    ORIOLEHOLD_INVARIANT(inserted, "a job is queued once");
    m_queue.emplace(key, job.id);
    m_work[position.bucket] += position.length;
}

bool shortest_expected_scheduler::remove(job_id id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end())
        return false;
    const queue_position &position = found->second;
    m_work[position.bucket] -= position.length;
    m_queue.erase(position.key);
    m_positions.erase(found);
    return true;
}

std::optional<job_id> shortest_expected_scheduler::dequeue(std::span<const duration> running,
                                                           std::size_t slots, time_point /*now*/)
{
    if (m_queue.empty() || running.size() >= slots)
        return std::nullopt;
    const job_id next = m_queue.begin()->second;
    remove(next);
    return next;
}

duration shortest_expected_scheduler::expectedWait(std::uint8_t /*priority*/,
                                                   duration expectedService,
                                                   std::span<const duration> running,
                                                   std::size_t slots, time_point /*now*/) const
{
    // Jobs that are shorter or of about the same length run first.
    const auto end = m_work.begin() + static_cast<std::ptrdiff_t>(bucketOf(expectedService)) + 1;
    const duration ahead = std::accumulate(m_work.begin(), end, duration::zero());
    return internal::estimateWait(ahead, running, slots, duration::zero());
}

} // namespace oriolehold::core
