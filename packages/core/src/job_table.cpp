#include "internal/job_table.h"

#include "oriolehold/core/invariant.h"
#include "oriolehold/core/running_prediction.h"

#include <algorithm>
#include <utility>

namespace oriolehold::core::internal {

void job_table::enqueue(agent_job job)
{
    const job_id id = job.request.job;
    m_downloads += job.isDownload ? 1 : 0;
    m_timers.set(toInteger(id), job.request.deadline);
    m_scheduler.enqueue(
            { id, job.priority, job.expectedService, job.arrival, job.request.deadline });
    if (job.isRedirectable)
        m_redirectable.insert(id);
    m_jobs.emplace(toInteger(id), std::move(job));
}

agent_job *job_table::takeNext(duration mean, time_point now)
{
    while (m_running.size() < m_slots) {
        const auto id = m_scheduler.dequeue(runningTotals(mean, now), m_slots, now);
        if (!id)
            return nullptr;
        agent_job *job = find(*id);
        ORIOLEHOLD_INVARIANT(job != nullptr && job->state == job_state::queued,
                             "the scheduler returns queued jobs only");
        if (job == nullptr)
            continue;
        job->state = job_state::running;
        job->started = now;
        m_running.push_back(*id);
        m_redirectable.erase(*id);
        ORIOLEHOLD_INVARIANT(m_running.size() <= m_slots, "no more jobs run than slots exist");
        return job;
    }
    return nullptr;
}

agent_job *job_table::find(job_id id)
{
    const auto found = m_jobs.find(toInteger(id));
    return found == m_jobs.end() ? nullptr : &found->second;
}

void job_table::erase(job_id id)
{
    const auto found = m_jobs.find(toInteger(id));
    if (found == m_jobs.end())
        return;
    if (found->second.state == job_state::queued)
        m_scheduler.remove(id);
    else
        std::erase(m_running, id);
    m_redirectable.erase(id);
    m_downloads -= found->second.isDownload ? 1 : 0;
    m_timers.cancel(toInteger(id));
    m_jobs.erase(found);
}

duration job_table::expectedWait(std::uint8_t priority, duration expectedService, duration mean,
                                 time_point now) const
{
    return m_scheduler.expectedWait(priority, expectedService, runningTotals(mean, now), m_slots,
                                    now);
}

blocked_times job_table::blockedFrom(duration::rep factor, duration mean) const
{
    if (m_running.empty() || m_running.size() < m_slots)
        return {};
    blocked_times blocked { never, time_point {} };
    for (const job_id id : m_running) {
        const agent_job &job = m_jobs.at(toInteger(id));
        const bool known = job.expectedService > duration::zero();
        const duration expected = known ? job.expectedService : mean;
        const time_point overdue =
                expected > duration::zero() ? job.started + factor * expected : never;
        blocked.first = std::min(blocked.first, overdue);
        blocked.all = std::max(blocked.all, overdue);
    }
    return blocked;
}

agent_job *job_table::oldestRedirectable()
{
    return m_redirectable.empty() ? nullptr : find(*m_redirectable.begin());
}

std::vector<duration> job_table::runningTotals(duration mean, time_point now) const
{
    std::vector<duration> totals;
    totals.reserve(m_running.size());
    std::ranges::transform(m_running, std::back_inserter(totals), [&](job_id id) {
        const agent_job &job = m_jobs.at(toInteger(id));
        return predictTotalServiceTime(job.expectedService, now - job.started, mean);
    });
    return totals;
}

} // namespace oriolehold::core::internal
