#include "oriolehold/core/fifo_scheduler.h"

#include "internal/wait_estimate.h"
#include "oriolehold/core/invariant.h"

namespace oriolehold::core {

void fifo_scheduler::enqueue(const waiting_job &job)
{
    const bool inserted = m_sequences.emplace(job.id, m_nextSequence).second;
    ORIOLEHOLD_INVARIANT(inserted, "a job is queued once");
    m_queue.emplace(m_nextSequence++, job);
    m_queuedWork += job.expectedService;
}

bool fifo_scheduler::remove(job_id id)
{
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end())
        return false;
    const auto job = m_queue.find(found->second);
    m_queuedWork -= job->second.expectedService;
    m_queue.erase(job);
    m_sequences.erase(found);
    return true;
}

std::optional<job_id> fifo_scheduler::dequeue(std::span<const duration> running, std::size_t slots,
                                              time_point /*now*/)
{
    if (m_queue.empty() || running.size() >= slots)
        return std::nullopt;
    const job_id next = m_queue.begin()->second.id;
    remove(next);
    return next;
}

duration fifo_scheduler::expectedWait(std::uint8_t /*priority*/, duration /*expectedService*/,
                                      std::span<const duration> running, std::size_t slots,
                                      time_point /*now*/) const
{
    return internal::estimateWait(m_queuedWork, running, slots, duration::zero());
}

} // namespace oriolehold::core
