#pragma once

#include "internal/body_store.h"
#include "internal/caller_request.h"
#include "internal/job_table.h"
#include "internal/request_ledger.h"
#include "internal/responder.h"
#include "oriolehold/core/agent_admission.h"
#include "oriolehold/core/service_time_estimator.h"

// Runs requests on the upstream's slots and answers their callers.

namespace oriolehold::core::internal {

// A request of a caller with a valid token.
struct request_context
{
    exchange_id exchange {};
    endpoint caller;
    const request_class *requestClass = nullptr;
    caller_request request;
    byte_view payload;
    token_binding binding = token_binding::unbound;
    ticket_key ticket;
};

struct job_service_options
{
    std::size_t maxQueued = 256;
    request_ledger_options ledger;
};

class job_service
{
public:
    // The references must outlive the service.
    job_service(job_service_options options, agent_actions &actions, slot_scheduler &scheduler,
                admission_policy &admission, caller_channel &channel, responder &responder,
                body_store &bodies);

    void configure(const upstream &self, std::chrono::seconds ticketLifetime);

    // A request that may run more than once. connectionFree tells whether a download may start.
    void submitIdempotent(const request_context &context, bool connectionFree, time_point now);
    // A request that runs at most once.
    void submitOnce(const request_context &context, time_point now);
    // A request for a later block of an answer.
    void readBlock(const request_context &context, time_point now);

    void complete(job_id id, const upstream_answer &answer, time_point now);
    // The caller does not want the answer any more. Returns whether a job was waiting.
    bool cancel(exchange_id exchange, time_point now);
    // As cancel(), for the requests of a caller with this CoAP token.
    bool cancel(const endpoint &caller, byte_view token, time_point now);

    time_point nextTimer() const;
    void advance(time_point now);

    bool isIdle() const { return m_jobs.size() == 0; }
    // Downloads that run or wait to run.
    std::size_t downloads() const { return m_jobs.downloads(); }
    const job_table &jobs() const { return m_jobs; }
    const service_time_estimator &estimator() const { return m_estimator; }

private:
    agent_job makeJob(const request_context &context, time_point now);
    std::optional<result_code> refusal(const agent_job &job, time_point now);
    bool joinDownload(const request_context &context, const request_digest &bodyDigest);
    // Refuses a fresh ticket and names another upstream; false when none is live.
    bool redirectOnce(const request_context &context, const request_digest &digest, time_point now);
    void answerKnownTicket(const request_context &context, const ticket_record &record,
                           time_point now);

    void dispatch(time_point now);
    void start(agent_job &job, time_point now);
    void refuseQueued(agent_job &job, result_code code, time_point now);
    void finishJob(agent_job &job, const upstream_answer &answer, time_point now);
    void expireJob(agent_job &job, time_point now);
    void rejectWaiters(const agent_job &job, result_code code, time_point now);
    void rejectRefused(exchange_id exchange, result_code code, std::uint8_t priority,
                       time_point now);
    void answer(const job_waiter &waiter, const request_digest &bodyDigest,
                const stored_answer &answer, time_point now);
    void sendBlock(exchange_id exchange, const body_key &key, coap::block_option block,
                   time_point now);
    void record(const agent_job &job, result_code code, time_point now);

    job_service_options m_options;
    agent_actions &m_actions;
    admission_policy &m_admission;
    caller_channel &m_channel;
    responder &m_responder;
    body_store &m_bodies;
    job_table m_jobs;
    request_ledger m_ledger;
    service_time_estimator m_estimator;
    time_point m_nextDispatch = never; // when the scheduler keeps a slot free for a waiting job
};

} // namespace oriolehold::core::internal
