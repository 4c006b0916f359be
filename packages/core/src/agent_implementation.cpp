#include "internal/agent_implementation.h"

#include <algorithm>
#include <utility>

namespace oriolehold::core {

namespace {

internal::job_service_options jobOptions(const agent_core_options &options)
{
    internal::job_service_options result;
    result.ledger.maxTickets = options.maxLedger;
    return result;
}

deadline_admission_options admissionOptions(const agent_core_options &options)
{
    deadline_admission_options result;
    result.maxQueued = options.maxQueued;
    return result;
}

template<typename Integer>
Integer saturated(std::size_t value)
{
    return static_cast<Integer>(std::min<std::size_t>(value, std::numeric_limits<Integer>::max()));
}

} // namespace

agent_core::implementation::implementation(agent_core_options options, agent_actions &actions,
                                           slot_scheduler &scheduler, random_source &random,
                                           const admission_policy *admission)
    : m_options(options), m_actions(actions), m_defaultAdmission(admissionOptions(m_options)),
      m_issuer(m_options.upstream, m_options.incarnation, random),
      m_channel(actions, random, m_options.entryTimeout), m_responder(m_channel, m_issuer),
      m_jobs(jobOptions(m_options), actions, scheduler,
             admission != nullptr ? *admission : m_defaultAdmission, m_channel, m_responder,
             m_bodies),
      m_feeds(m_options, actions, m_channel, m_issuer, m_responder, m_bodies)
{ }

bool agent_core::implementation::configure(configuration_pointer configuration, time_point now)
{
    if (configuration->generation() <= m_generation)
        return false;
    m_generation = configuration->generation();
    const upstream *self = configuration->findUpstream(m_options.upstream);
    if (self == nullptr) {
        // The document does not contain this upstream any more. The previous configuration stays in
        // effect for the open flows until they have moved to another agent or ended.
        drain(now);
        return true;
    }
    m_started = m_started.value_or(now);
    // The previous configuration must exist until every component uses the new one.
    const configuration_pointer previous = std::exchange(m_configuration, std::move(configuration));
    m_self = self;
    m_issuer.configure(m_configuration);
    m_channel.configure(*m_configuration, self->index);
    m_jobs.configure(*self, m_configuration->content().ticketLifetime);
    m_feeds.configure(m_configuration, *self);
    if (self->state == upstream_state::leaving)
        drain(now);
    return true;
}

void agent_core::implementation::observeEntry(const endpoint &entry, time_point now)
{
    m_channel.observeEntry(entry, now);
}

void agent_core::implementation::completeJob(job_id job, const upstream_answer &answer,
                                             time_point now)
{
    m_jobs.complete(job, answer, now);
}

void agent_core::implementation::updateFeed(feed_id feed, byte_view payload, time_point now)
{
    m_feeds.update(feed, payload, now);
}

void agent_core::implementation::endFeed(feed_id feed, time_point now)
{
    m_feeds.end(feed, now);
}

void agent_core::implementation::receiveHandover(const endpoint &from,
                                                 const handover_message &message, time_point now)
{
    // An agent that the configuration does not contain was removed before its feeds had moved, or
    // is newer than the configuration. Its envelopes are authenticated, so it is accepted.
    const upstream *peer = m_self == nullptr ? nullptr : m_configuration->findUpstreamByAgent(from);
    const bool carriesFeed =
            message.step == handover_step::offer || message.step == handover_step::commit;
    if (m_self == nullptr || (peer != nullptr && peer->service != m_self->service)
        || (carriesFeed && message.feed.service != m_self->service)) {
        drop(result_code::wrongService);
        return;
    }
    m_feeds.receiveHandover(from, message, now);
}

void agent_core::implementation::drain(time_point now)
{
    if (m_drainStarted)
        return;
    m_drainStarted = now;
    m_responder.drain();
    m_feeds.drain(now);
}

bool agent_core::implementation::drained(time_point now) const
{
    if (!m_drainStarted)
        return false;
    const bool idle = m_jobs.isIdle() && m_feeds.isIdle() && m_bodies.unfinished() == 0
            && !m_channel.isBusy(now);
    return idle || now - *m_drainStarted >= m_options.drainLimit;
}

time_point agent_core::implementation::nextTimer() const
{
    return std::min({ m_channel.nextTimer(), m_jobs.nextTimer(), m_feeds.nextTimer() });
}

void agent_core::implementation::advance(time_point now)
{
    if (m_self == nullptr)
        return;
    m_jobs.advance(now);
    for (const feed_id feed : m_channel.advance(now))
        m_feeds.discard(feed);
    m_feeds.advance(now);
}

agent_report agent_core::implementation::report(time_point now) const
{
    agent_report result;
    result.upstream = m_options.upstream;
    result.incarnation = m_options.incarnation;
    result.generation = m_generation;
    if (m_self == nullptr)
        return result;
    const bool warm = m_started && now - *m_started >= m_options.warmUp;
    result.state = m_drainStarted ? agent_state::draining
            : warm                ? agent_state::live
                                  : agent_state::warming;
    const internal::job_table &jobs = m_jobs.jobs();
    result.running = saturated<std::uint16_t>(jobs.running());
    result.queued = saturated<std::uint16_t>(jobs.queued());
    result.slots = m_self->slots;
    result.connections = saturated<std::uint32_t>(connections());
    result.meanServiceTime = m_jobs.estimator().mean();
    result.expectedWait = jobs.expectedWait(0, result.meanServiceTime, result.meanServiceTime, now);

    return result;
}

std::uint64_t agent_core::implementation::dropped(result_code code) const
{
    const auto found = m_dropped.find(code);
    return found == m_dropped.end() ? 0 : found->second;
}

std::size_t agent_core::implementation::connections() const
{
    return m_feeds.connections() + m_bodies.unfinished() + m_jobs.downloads();
}

} // namespace oriolehold::core
