#pragma once

#include "internal/body_store.h"
#include "internal/caller_channel.h"
#include "internal/feed_service.h"
#include "internal/flow_issuer.h"
#include "internal/job_service.h"
#include "internal/responder.h"
#include "oriolehold/core/agent_core.h"

#include <map>

namespace oriolehold::core {

class agent_core::implementation
{
public:
    implementation(agent_core_options options, agent_actions &actions, slot_scheduler &scheduler,
                   random_source &random, const admission_policy *admission);

    bool configure(configuration_pointer configuration, time_point now);
    void observeEntry(const endpoint &entry, time_point now);
    void receive(const endpoint &entry, const endpoint &caller, service_id service,
                 byte_view packet, time_point now, duration age);
    void completeJob(job_id job, const upstream_answer &answer, time_point now);
    void updateFeed(feed_id feed, byte_view payload, time_point now);
    void endFeed(feed_id feed, time_point now);
    void receiveHandover(const endpoint &from, const handover_message &message, time_point now);
    void drain(time_point now);
    bool drained(time_point now) const;
    time_point nextTimer() const;
    void advance(time_point now);
    agent_report report(time_point now) const;
    std::uint64_t dropped(result_code code) const;

private:
    // A received packet that is being checked.
    struct incoming_packet
    {
        endpoint entry;
        endpoint caller;
        service_id service {};
        time_point now;
        duration age {};
    };

    void drop(result_code code) { ++m_dropped[code]; }
    void receiveEmpty(const incoming_packet &packet, const coap::message_view &message);
    void receiveRequest(const incoming_packet &packet, const coap::message_view &message);
    // Answers a request whose token the entry accepted and this agent does not, for example after a
    // change of keys.
    void rejectToken(const incoming_packet &packet, const coap::message_view &message,
                     const token_result &token);
    void serve(const incoming_packet &packet, const coap::message_view &message,
               const flow_token &token, internal::exchange_id exchange);
    void serveIdempotent(const incoming_packet &packet, const coap::message_view &message,
                         const internal::request_context &context);
    void serveNonIdempotent(const internal::request_context &context, time_point now);
    std::size_t connections() const;

    agent_core_options m_options;
    agent_actions &m_actions;
    deadline_admission_policy m_defaultAdmission;
    internal::flow_issuer m_issuer;
    internal::caller_channel m_channel;
    internal::responder m_responder;
    internal::body_store m_bodies;
    internal::job_service m_jobs;
    internal::feed_service m_feeds;
    configuration_pointer m_configuration;
    const upstream *m_self = nullptr; // in m_configuration
    generation_number m_generation = 0;
    std::optional<time_point> m_started;
    std::optional<time_point> m_drainStarted;
    std::map<result_code, std::uint64_t> m_dropped;
};

} // namespace oriolehold::core
