#include "internal/job_service.h"

#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace oriolehold::core::internal {

namespace {

// An upstream that does not answer a canceled job within this time is considered stuck on it, and
// the slot is used again.
constexpr std::chrono::seconds abandonedJobLimit { 10 };
// Interval between dequeue attempts while the scheduler keeps a slot free.
constexpr std::chrono::milliseconds dispatchInterval { 10 };
// Interval between attempts to redirect a job that waits behind stragglers while no other upstream
// is live.
constexpr std::chrono::milliseconds redirectRetryInterval { 100 };
// Exchanges that wait for one job: copies of an order, or repeated requests for one download.
constexpr std::size_t maxWaiters = 16;
constexpr std::chrono::seconds maxRetryAfter { 30 };

job_waiter waiterOf(const request_context &context)
{
    const std::uint8_t exponent =
            context.request.block2 ? context.request.block2->sizeExponent : defaultBlockExponent;
    return { context.exchange, exponent };
}

request_digest bodyDigestOf(const request_context &context)
{
    return digestOf(context.request.method, context.request.path, context.request.queries, {});
}

coap::block_option firstBlock(std::uint8_t exponent)
{
    return { 0, false, exponent };
}

std::chrono::seconds retryAfter(duration expectedWait)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(expectedWait);
    return std::clamp(seconds, std::chrono::seconds { 1 }, maxRetryAfter);
}

} // namespace

job_service::job_service(job_service_options options, agent_actions &actions,
                         slot_scheduler &scheduler, const admission_policy &admission,
                         caller_channel &channel, responder &responder, body_store &bodies)
    : m_options(options), m_actions(actions), m_admission(admission), m_channel(channel),
      m_responder(responder), m_bodies(bodies), m_jobs(scheduler), m_ledger(options.ledger),
      m_redirectBudget(options.redirectBudget)
{ }

void job_service::configure(const upstream &self, std::chrono::seconds ticketLifetime)
{
    m_jobs.setSlots(self.slots);
    m_ledger.setTicketLifetime(ticketLifetime);
}

void job_service::submitIdempotent(const request_context &context, bool hasFreeConnection,
                                   time_point now)
{
    const body_key key { context.caller, bodyDigestOf(context) };
    // A repeated request for a download in progress continues with the body that exists.
    if (m_bodies.isInProgress(key, now)) {
        sendBlock(context.exchange, key, firstBlock(waiterOf(context).blockExponent), now);
        return;
    }
    if (joinDownload(context, key.request))
        return;
    if (m_responder.isDraining()) {
        if (!m_responder.challenge(context.exchange, now, context.hops))
            m_responder.reject(context.exchange, result_code::draining, now);
        return;
    }
    agent_job job = makeJob(context, now);
    std::optional<result_code> code = refusal(job, now);
    if (!code && job.isDownload && !hasFreeConnection)
        code = result_code::connectionLimit;
    if (code && tryAcquireRedirect(job, *code, now)) {
        const std::uint8_t hops = nextHopCount(job.hops);
        if (const auto echo = m_responder.issueRedirect(context.caller, now, hops)) {
            m_responder.sendChallenge(context.exchange, *echo, now);
            return;
        }
    }
    if (code) {
        record(job, *code, now);
        rejectWithRetryAfter(context.exchange, *code, job.priority, now);
        return;
    }
    m_jobs.enqueue(std::move(job));
    dispatch(now);
}

void job_service::submitNonIdempotent(const request_context &context, time_point now)
{
    m_ledger.expire(now);
    const request_digest digest = digestOf(context.request.method, context.request.path,
                                           context.request.queries, context.payload);
    const ticket_lookup found = m_ledger.lookup(context.ticket, digest);
    switch (found.status) {
    case lookup_status::known:
        answerKnownTicket(context, *found.record, now);
        return;
    case lookup_status::reused:
        m_responder.reject(context.exchange, result_code::ticketReused, now);
        return;
    case lookup_status::expired:
        m_responder.reject(context.exchange, result_code::ticketExpired, now);
        return;
    case lookup_status::refused:
        m_responder.reject(context.exchange, result_code::ledgerFull, now);
        return;
    case lookup_status::fresh:
        break;
    }

    ORIOLEHOLD_INVARIANT(context.binding == token_binding::current,
                         "a ticket runs only under a token of this incarnation");
    if (m_responder.isDraining()
        && redirectNonIdempotent(context, digest, result_code::draining, now))
        return;
    agent_job job = makeJob(context, now);
    job.ticket = context.ticket;
    job.request.ticket = context.ticket.number;
    std::optional<result_code> code =
            m_responder.isDraining() ? std::optional(result_code::draining) : refusal(job, now);
    if (code && tryAcquireRedirect(job, *code, now)
        && redirectNonIdempotent(context, digest, *code, now))
        return;
    if (code)
        m_ledger.refuse(context.ticket, digest, *code);
    else if (!m_ledger.queue(context.ticket, digest, job.request.job))
        code = result_code::ledgerFull;
    if (code) {
        record(job, *code, now);
        rejectWithRetryAfter(context.exchange, *code, job.priority, now);
        return;
    }
    m_jobs.enqueue(std::move(job));
    dispatch(now);
}

bool job_service::redirectNonIdempotent(const request_context &context,
                                        const request_digest &digest, result_code code,
                                        time_point now)
{
    const auto echo = m_responder.issueRedirect(context.caller, now, nextHopCount(context.hops));
    if (!echo)
        return false;
    // The refusal is recorded with its token, so that every copy of the request gets the same one
    // and the order can run under one other ticket at most.
    if (!m_ledger.refuse(context.ticket, digest, code, echo))
        return false;
    m_responder.sendChallenge(context.exchange, *echo, now);
    return true;
}

void job_service::readBlock(const request_context &context, time_point now)
{
    sendBlock(context.exchange, { context.caller, bodyDigestOf(context) }, *context.request.block2,
              now);
}

void job_service::complete(job_id id, const upstream_answer &answer, time_point now)
{
    agent_job *job = m_jobs.find(id);
    if (job == nullptr || job->state == job_state::queued)
        return;
    if (answer.status == upstream_status::answered)
        m_estimator.record(job->className, job->request.path, now - job->started);
    if (job->state == job_state::running)
        finishJob(*job, answer, now);
    m_jobs.erase(id);
    dispatch(now);
}

bool job_service::cancel(exchange_id exchange, time_point now)
{
    const auto waits = [exchange](const agent_job &job) {
        return std::ranges::find(job.waiters, exchange, &job_waiter::exchange) != job.waiters.end();
    };
    agent_job *job = m_jobs.findIf(waits);
    if (job == nullptr)
        return false;
    // All copies of an order belong to one caller, so one cancellation is enough.
    const bool last = job->waiters.size() == 1 || !job->request.idempotent;
    if (job->state == job_state::queued && last) {
        m_channel.closeUnanswered(exchange);
        refuseQueued(*job, result_code::canceled, now);
        m_jobs.erase(job->request.job);
        return true;
    }
    // The answer of a running order is needed for later copies of it.
    if (!job->request.idempotent)
        return true;
    std::erase_if(job->waiters,
                  [exchange](const job_waiter &waiter) { return waiter.exchange == exchange; });
    m_channel.closeUnanswered(exchange);
    if (job->waiters.empty() && job->state == job_state::running) {
        job->state = job_state::abandoned;
        m_jobs.timers().set(toInteger(job->request.job), now + abandonedJobLimit);
        m_actions.cancelJob(job->request.job);
    }
    return true;
}

bool job_service::cancel(const endpoint &caller, byte_view token, time_point now)
{
    std::optional<exchange_id> found;
    m_jobs.findIf([&](const agent_job &job) {
        return std::ranges::any_of(job.waiters, [&](const job_waiter &waiter) {
            const exchange *open = m_channel.find(waiter.exchange);
            if (open != nullptr && open->caller == caller && std::ranges::equal(open->token, token))
                found = waiter.exchange;
            return found.has_value();
        });
    });
    return found && cancel(*found, now);
}

time_point job_service::nextTimer() const
{
    return std::min(
            { m_jobs.timers().next(), m_bodies.nextTimer(), m_nextDispatch, m_nextRedirect });
}

void job_service::advance(time_point now)
{
    while (const auto id = m_jobs.timers().popDue(now)) {
        if (agent_job *job = m_jobs.find(job_id { *id }))
            expireJob(*job, now);
    }
    m_bodies.expire(now);
    m_ledger.expire(now);
    dispatch(now);
}

agent_job job_service::makeJob(const request_context &context, time_point now)
{
    const request_class &requestClass = *context.requestClass;
    agent_job job;
    job.request.job = m_jobs.nextId();
    job.caller = context.caller;
    job.hops = context.hops;
    job.isRedirectable = requestClass.kind == class_kind::request && context.hops < maxFlowHops;
    job.request.method = context.request.method;
    job.request.path = context.request.path;
    job.request.queries = context.request.queries;
    job.request.payload.assign(context.payload.begin(), context.payload.end());
    job.request.idempotent = requestClass.idempotent;
    job.request.deadline =
            now - context.age + context.request.deadline.value_or(requestClass.deadline);
    job.className = requestClass.name;
    job.priority = requestClass.priority;
    job.isDownload = requestClass.kind == class_kind::download;
    job.bodyDigest = bodyDigestOf(context);
    job.waiters = { waiterOf(context) };
    job.arrival = now;
    if (m_estimator.hasSamples(job.className))
        job.expectedService = m_estimator.predict(job.className, job.request.path);
    m_redirectBudget.recordRequest(now);
    return job;
}

std::optional<result_code> job_service::refusal(const agent_job &job, time_point now) const
{
    admission_request request;
    request.now = now;
    request.deadline = job.request.deadline;
    request.expectedWait = expectedWait(job.priority, job.expectedService, now);
    request.expectedService = job.expectedService;
    request.priority = job.priority;
    request.queued = m_jobs.queued();
    request.freeMemory = std::numeric_limits<std::size_t>::max(); // the bounds of queue, ledger and
                                                                  // bodies limit memory
    const auto code = m_admission.refusal(request);
    // A job that starts at once is admitted regardless of its prediction: only its execution can
    // correct a prediction that stragglers have raised.
    const bool startsAtOnce =
            request.expectedWait <= duration::zero() && m_jobs.running() < m_jobs.slots();
    return startsAtOnce && code != result_code::queueFull ? std::nullopt : code;
}

duration job_service::expectedWait(std::uint8_t priority, duration expectedService,
                                   time_point now) const
{
    return m_jobs.expectedWait(priority, expectedService, m_estimator.mean(), now);
}

bool job_service::tryAcquireRedirect(const agent_job &job, result_code code, time_point now)
{
    const bool mayFitElsewhere =
            code == result_code::queueFull || code == result_code::deadlineUnreachable;
    return mayFitElsewhere && job.isRedirectable && m_redirectBudget.tryAcquire(now);
}

bool job_service::joinDownload(const request_context &context, const request_digest &bodyDigest)
{
    if (context.requestClass->kind != class_kind::download || m_jobs.downloads() == 0)
        return false;
    agent_job *job = m_jobs.findIf([&](const agent_job &candidate) {
        if (!candidate.isDownload || candidate.state == job_state::abandoned
            || candidate.bodyDigest != bodyDigest || candidate.waiters.empty())
            return false;
        const exchange *open = m_channel.find(candidate.waiters.front().exchange);
        return open != nullptr && open->caller == context.caller;
    });
    if (job == nullptr || job->waiters.size() >= maxWaiters)
        return false;
    job->waiters.push_back(waiterOf(context));
    return true;
}

void job_service::answerKnownTicket(const request_context &context, const ticket_record &record,
                                    time_point now)
{
    switch (record.state) {
    case ticket_state::queued:
    case ticket_state::running: {
        agent_job *job = m_jobs.find(record.job);
        ORIOLEHOLD_INVARIANT(job != nullptr, "a queued or running ticket has a job");
        if (job->waiters.size() < maxWaiters)
            job->waiters.push_back(waiterOf(context));
        else
            m_channel.closeUnanswered(context.exchange);
        return;
    }
    case ticket_state::done:
        answer(waiterOf(context), bodyDigestOf(context), record.answer, now);
        return;
    case ticket_state::refused:
    case ticket_state::unknown:
        if (record.redirect)
            m_responder.sendChallenge(context.exchange, *record.redirect, now);
        else
            m_responder.reject(context.exchange, record.code, now);
        return;
    }
}

void job_service::dispatch(time_point now)
{
    while (agent_job *job = m_jobs.takeNext(m_estimator.mean(), now)) {
        if (job->request.deadline <= now) {
            refuseQueued(*job, result_code::deadlinePassed, now);
            m_jobs.erase(job->request.job);
        } else {
            start(*job, now);
        }
    }
    const bool keepsSlotFree = m_jobs.queued() > 0 && m_jobs.running() < m_jobs.slots();
    m_nextDispatch = keepsSlotFree ? now + dispatchInterval : never;
    redirectBlocked(now);
}

void job_service::redirectBlocked(time_point now)
{
    m_nextRedirect = never;
    const duration mean = m_estimator.mean();
    const blocked_times blocked = m_jobs.blockedFrom(m_options.overdueFactor, mean);
    if (blocked.first == never || m_responder.isDraining())
        return;
    const duration maxWait =
            std::max(m_options.allBlockedWaitFactor * mean, m_options.minRedirectWait);
    const duration partialMaxWait =
            std::max(m_options.someBlockedWaitFactor * mean, m_options.minRedirectWait);
    while (agent_job *job = m_jobs.oldestRedirectable()) {
        m_nextRedirect = std::min(std::max(blocked.all, job->arrival + maxWait),
                                  std::max(blocked.first, job->arrival + partialMaxWait));
        if (m_nextRedirect > now)
            return;
        if (!redirectQueued(*job, now)) {
            m_nextRedirect = now + redirectRetryInterval;
            return;
        }
        m_jobs.erase(job->request.job);
    }
    m_nextRedirect = never;
}

bool job_service::redirectQueued(agent_job &job, time_point now)
{
    const auto echo = m_responder.issueRedirect(job.caller, now, nextHopCount(job.hops));
    if (!echo)
        return false;
    if (job.ticket)
        m_ledger.refuseQueued(*job.ticket, result_code::challenge, echo);
    for (const job_waiter &waiter : job.waiters)
        m_responder.sendChallenge(waiter.exchange, *echo, now);
    return true;
}

void job_service::start(agent_job &job, time_point now)
{
    ORIOLEHOLD_INVARIANT(job.request.idempotent == !job.ticket.has_value(),
                         "a request that may not be repeated runs under a ticket");
    if (job.ticket)
        m_ledger.dispatch(*job.ticket);
    job.started = now;
    m_actions.startJob(job.request);
}

void job_service::refuseQueued(agent_job &job, result_code code, time_point now)
{
    if (job.ticket)
        m_ledger.refuseQueued(*job.ticket, code);
    rejectWaiters(job, code, now);
    record(job, code, now);
}

void job_service::finishJob(agent_job &job, const upstream_answer &upstreamAnswer, time_point now)
{
    switch (upstreamAnswer.status) {
    case upstream_status::answered: {
        const stored_answer stored { upstreamAnswer.code,
                                     std::make_shared<const byte_vector>(upstreamAnswer.payload) };
        if (job.ticket)
            m_ledger.finish(*job.ticket, stored);
        for (const job_waiter &waiter : job.waiters)
            answer(waiter, job.bodyDigest, stored, now);
        record(job, result_code::done, now);
        return;
    }
    case upstream_status::shed:
        if (job.ticket)
            m_ledger.refuseRunning(*job.ticket, result_code::upstreamShed);
        rejectWaiters(job, result_code::upstreamShed, now);
        record(job, result_code::upstreamShed, now);
        return;
    case upstream_status::failed:
    case upstream_status::timedOut: {
        const result_code code = upstreamAnswer.status == upstream_status::failed
                ? result_code::upstreamFailed
                : result_code::upstreamTimeout;
        if (job.ticket)
            m_ledger.finishUnknown(*job.ticket, code);
        rejectWaiters(job, code, now);
        record(job, code, now);
        return;
    }
    }
}

void job_service::expireJob(agent_job &job, time_point now)
{
    switch (job.state) {
    case job_state::queued:
        refuseQueued(job, result_code::deadlinePassed, now);
        m_jobs.erase(job.request.job);
        return;
    case job_state::running:
        if (job.ticket)
            m_ledger.finishUnknown(*job.ticket, result_code::upstreamTimeout);
        rejectWaiters(job, result_code::upstreamTimeout, now);
        record(job, result_code::upstreamTimeout, now);
        job.waiters.clear();
        job.state = job_state::abandoned;
        m_jobs.timers().set(toInteger(job.request.job), now + abandonedJobLimit);
        m_actions.cancelJob(job.request.job);
        return;
    case job_state::abandoned:
        m_jobs.erase(job.request.job);
        return;
    }
}

void job_service::rejectWaiters(const agent_job &job, result_code code, time_point now)
{
    for (const job_waiter &waiter : job.waiters)
        rejectWithRetryAfter(waiter.exchange, code, job.priority, now);
}

void job_service::rejectWithRetryAfter(exchange_id exchange, result_code code,
                                       std::uint8_t priority, time_point now)
{
    if (info(code).outcome != outcome::notRun) {
        m_responder.reject(exchange, code, now);
        return;
    }
    const duration wait = expectedWait(priority, m_estimator.mean(), now);
    m_responder.reject(exchange, code, now, retryAfter(wait));
}

void job_service::answer(const job_waiter &waiter, const request_digest &bodyDigest,
                         const stored_answer &stored, time_point now)
{
    const exchange *open = m_channel.find(waiter.exchange);
    if (open == nullptr || open->state == exchange_state::answered)
        return;
    const auto code = static_cast<coap::message_code>(stored.code);
    const coap::block_option block = firstBlock(waiter.blockExponent);
    if (stored.payload->size() <= block.size()) {
        response value;
        value.code = code;
        value.payload = *stored.payload;
        m_responder.respond(waiter.exchange, value, flow_continuation::ended, now);
        return;
    }
    const body_key key { open->caller, bodyDigest };
    if (m_bodies.put(key, code, stored.payload, now))
        sendBlock(waiter.exchange, key, block, now);
    else
        m_responder.reject(waiter.exchange, result_code::upstreamFailed, now);
}

void job_service::sendBlock(exchange_id exchange, const body_key &key, coap::block_option block,
                            time_point now)
{
    const block_result result = m_bodies.read(key, block, now);
    switch (result.status) {
    case block_status::found:
        m_responder.respond(
                exchange, result.content,
                result.finished ? flow_continuation::ended : flow_continuation::continued, now);
        return;
    case block_status::notFound:
        m_responder.rejectBlock(exchange, now);
        return;
    case block_status::outOfRange:
        m_responder.reject(exchange, result_code::badRequest, now);
        return;
    }
}

void job_service::record(const agent_job &job, result_code code, time_point now)
{
    const bool started = job.started != time_point {} && job.state != job_state::queued;
    const duration wait = (started ? job.started : now) - job.arrival;
    const duration service = started ? now - job.started : duration::zero();
    m_actions.recordResult(job.className, code, wait, service, now - job.arrival);
}

} // namespace oriolehold::core::internal
