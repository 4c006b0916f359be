#include "oriolehold/core/agent_core.h"

#include "internal/agent_implementation.h"

#include <utility>

namespace oriolehold::core {

agent_core::agent_core(agent_core_options options, agent_actions &actions,
                       slot_scheduler &scheduler, random_source &random,
                       const admission_policy *admission)
    : m_implementation(
            std::make_unique<implementation>(options, actions, scheduler, random, admission))
{ }

agent_core::~agent_core() = default;

bool agent_core::configure(configuration_pointer configuration, time_point now)
{
    return m_implementation->configure(std::move(configuration), now);
}

void agent_core::observeEntry(const endpoint &entry, time_point now)
{
    m_implementation->observeEntry(entry, now);
}

void agent_core::receive(const endpoint &entry, const endpoint &caller, service_id service,
                         byte_view packet, time_point now, duration age)
{
    m_implementation->receive(entry, caller, service, packet, now, age);
}

void agent_core::completeJob(job_id job, const upstream_answer &answer, time_point now)
{
    m_implementation->completeJob(job, answer, now);
}

void agent_core::updateFeed(feed_id feed, byte_view payload, time_point now)
{
    m_implementation->updateFeed(feed, payload, now);
}

void agent_core::endFeed(feed_id feed, time_point now)
{
    m_implementation->endFeed(feed, now);
}

void agent_core::receiveHandover(const endpoint &from, const handover_message &message,
                                 time_point now)
{
    m_implementation->receiveHandover(from, message, now);
}

void agent_core::drain(time_point now)
{
    m_implementation->drain(now);
}

bool agent_core::drained(time_point now) const
{
    return m_implementation->drained(now);
}

time_point agent_core::nextTimer() const
{
    return m_implementation->nextTimer();
}

void agent_core::advance(time_point now)
{
    m_implementation->advance(now);
}

agent_report agent_core::report(time_point now) const
{
    return m_implementation->report(now);
}

std::uint64_t agent_core::dropped(result_code code) const
{
    return m_implementation->dropped(code);
}

} // namespace oriolehold::core
