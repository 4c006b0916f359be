#pragma once

#include "internal/body_store.h"
#include "internal/caller_request.h"
#include "internal/job_table.h"
#include "internal/request_ledger.h"
#include "internal/responder.h"
#include "oriolehold/core/admission_policy.h"
#include "oriolehold/core/retry_budget.h"
#include "oriolehold/core/service_time_estimator.h"

// Admits requests, runs them on the upstream's slots and answers their callers.

namespace oriolehold::core::internal {

// A request of a caller with a valid token.
struct request_context
{
    exchange_id exchange {};
    endpoint caller;
    const request_class *requestClass = nullptr;
    caller_request request;
    byte_view payload;
    duration age {}; // time that the packet waited in buffers before it was read
    token_binding binding = token_binding::unbound;
    ticket_key ticket;
    std::uint8_t hops = 0; // times that the request was redirected
};

struct job_service_options
{
    request_ledger_options ledger;
    // A slot counts as blocked by a straggler when its job has run this many times its prediction.
    duration::rep overdueFactor = 2;
    // A job that has waited this many times the mean service time is redirected to another upstream
    // while all slots or some of them are blocked. A low factor for some blocked slots makes the
    // tail latency unstable: in 20 s runs with stragglers (seeds 1, 4 and 5), p99 of short orders
    // was 161 to 251 ms with 3 and 106 to 726 ms with 1. Without the rule for some blocked slots it
    // was 165 to 363 ms.
    duration::rep allBlockedWaitFactor = 1;
    duration::rep someBlockedWaitFactor = 3;
    duration minRedirectWait = std::chrono::milliseconds { 5 }; // least wait before a redirect
    // Limits the requests that are redirected instead of refused: in an overload of the whole
    // service, other upstreams refuse them as well.
    retry_budget_options redirectBudget;
};

class job_service
{
public:
    // The references must outlive the service.
    job_service(job_service_options options, agent_actions &actions, slot_scheduler &scheduler,
                const admission_policy &admission, caller_channel &channel, responder &responder,
                body_store &bodies);

    void configure(const upstream &self, std::chrono::seconds ticketLifetime);

    // Handles a request that may run more than once. A download starts only if hasFreeConnection is
    // true.
    void submitIdempotent(const request_context &context, bool hasFreeConnection, time_point now);
    // Handles a request that runs at most once.
    void submitNonIdempotent(const request_context &context, time_point now);
    // Handles a request for a later block of an answer.
    void readBlock(const request_context &context, time_point now);

    void complete(job_id id, const upstream_answer &answer, time_point now);
    // Cancels a request whose caller needs no answer any more. Returns false when no job has it.
    bool cancel(exchange_id exchange, time_point now);
    // As cancel(), for the requests of a caller with this CoAP token.
    bool cancel(const endpoint &caller, byte_view token, time_point now);

    time_point nextTimer() const;
    void advance(time_point now);

    bool isIdle() const { return m_jobs.size() == 0; }
    // Number of downloads that run or wait to run.
    std::size_t downloads() const { return m_jobs.downloads(); }
    const job_table &jobs() const { return m_jobs; }
    const service_time_estimator &estimator() const { return m_estimator; }

private:
    agent_job makeJob(const request_context &context, time_point now);
    std::optional<result_code> refusal(const agent_job &job, time_point now) const;
    duration expectedWait(std::uint8_t priority, duration expectedService, time_point now) const;
    // Whether a job that is refused with this code is redirected instead. Uses up redirect budget.
    bool tryAcquireRedirect(const agent_job &job, result_code code, time_point now);
    bool joinDownload(const request_context &context, const request_digest &bodyDigest);
    // Refuses a fresh ticket with a token for another upstream; false when none is live or the
    // ledger is full.
    bool redirectNonIdempotent(const request_context &context, const request_digest &digest,
                               result_code code, time_point now);
    void answerKnownTicket(const request_context &context, const ticket_record &record,
                           time_point now);

    void dispatch(time_point now);
    void start(agent_job &job, time_point now);
    // Redirects jobs that wait behind stragglers to other upstreams.
    void redirectBlocked(time_point now);
    // Refuses a queued job with a token for another upstream; false when none is live.
    bool redirectQueued(agent_job &job, time_point now);
    void refuseQueued(agent_job &job, result_code code, time_point now);
    void finishJob(agent_job &job, const upstream_answer &answer, time_point now);
    void expireJob(agent_job &job, time_point now);
    void rejectWaiters(const agent_job &job, result_code code, time_point now);
    void rejectWithRetryAfter(exchange_id exchange, result_code code, std::uint8_t priority,
                              time_point now);
    void answer(const job_waiter &waiter, const request_digest &bodyDigest,
                const stored_answer &answer, time_point now);
    void sendBlock(exchange_id exchange, const body_key &key, coap::block_option block,
                   time_point now);
    void record(const agent_job &job, result_code code, time_point now);

    job_service_options m_options;
    agent_actions &m_actions;
    const admission_policy &m_admission;
    caller_channel &m_channel;
    responder &m_responder;
    body_store &m_bodies;
    job_table m_jobs;
    request_ledger m_ledger;
    service_time_estimator m_estimator;
    retry_budget m_redirectBudget;
    time_point m_nextRedirect = never; // when a waiting job may have to be redirected
    time_point m_nextDispatch = never; // next attempt while the scheduler keeps a slot free
};

} // namespace oriolehold::core::internal
