#pragma once

#include "internal/exchange_table.h"
#include "internal/request_ledger.h"
#include "internal/timer_index.h"
#include "oriolehold/core/agent_core.h"

#include <set>
#include <unordered_map>

// Jobs that wait for a slot or hold one.

namespace oriolehold::core::internal {

enum class job_state : std::uint8_t {
    queued,
    running,
    abandoned, // no caller waits any more, but the upstream may still run it
};

// A caller that waits for the answer of a job.
struct job_waiter
{
    exchange_id exchange {};
    std::uint8_t blockExponent = 0; // largest block that the caller accepts
};

struct agent_job
{
    upstream_request request;
    endpoint caller;
    std::uint8_t hops = 0;       // times that the request was redirected
    bool isRedirectable = false; // may be redirected to another upstream while it waits
    std::string className;
    std::uint8_t priority = 0;
    bool isDownload = false;
    request_digest bodyDigest {}; // of the request without payload, names a block-wise body
    std::optional<ticket_key> ticket;
    std::vector<job_waiter> waiters;
    time_point arrival;
    time_point started;
    duration expectedService {}; // 0 when unknown
    job_state state = job_state::queued;
};

// Times from which slots count as blocked.
struct blocked_times
{
    time_point first = never; // at least one slot
    time_point all = never;   // every slot
};

class job_table
{
public:
    // The scheduler must outlive the table.
    explicit job_table(slot_scheduler &scheduler) : m_scheduler(scheduler) { }

    void setSlots(std::size_t slots) { m_slots = slots; }

    job_id nextId() { return job_id { ++m_lastId }; }
    // Enqueues a job; its request holds the ID and the deadline.
    void enqueue(agent_job job);
    // Takes the next job for a free slot; nullptr when there is none. The calling function starts
    // the job or erases it.
    agent_job *takeNext(duration mean, time_point now);
    // nullptr when the job has ended.
    agent_job *find(job_id id);
    // Ends a job: removes it from the queue or frees its slot.
    void erase(job_id id);

    std::size_t queued() const { return m_scheduler.size(); }
    std::size_t running() const { return m_running.size(); }
    std::size_t slots() const { return m_slots; }
    std::size_t size() const { return m_jobs.size(); }
    std::size_t downloads() const { return m_downloads; }
    // mean is the running mean of the service times, 0 when unknown.
    duration expectedWait(std::uint8_t priority, duration expectedService, duration mean,
                          time_point now) const;
    // Times at which the running jobs reach this many times their prediction. Never while a slot is
    // free. A job without prediction uses the mean, and never blocks while the mean is unknown.
    blocked_times blockedFrom(duration::rep factor, duration mean) const;
    // The longest waiting job that may be redirected, nullptr when there is none.
    agent_job *oldestRedirectable();

    timer_index<std::uint64_t> &timers() { return m_timers; }
    const timer_index<std::uint64_t> &timers() const { return m_timers; }

    template<typename Predicate>
    agent_job *findIf(Predicate &&predicate)
    {
        const auto found = std::find_if(m_jobs.begin(), m_jobs.end(),
                                        [&](const auto &item) { return predicate(item.second); });
        return found == m_jobs.end() ? nullptr : &found->second;
    }

private:
    std::vector<duration> runningTotals(duration mean, time_point now) const;

    slot_scheduler &m_scheduler;
    std::size_t m_slots = 0;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, agent_job> m_jobs;
    std::vector<job_id> m_running;
    std::set<job_id> m_redirectable; // queued jobs; their IDs increase with the arrival
    std::size_t m_downloads = 0;
    timer_index<std::uint64_t> m_timers; // deadline; for abandoned jobs, release of the slot
};

} // namespace oriolehold::core::internal
