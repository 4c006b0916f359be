#pragma once

#include "internal/body_store.h"
#include "internal/feed_table.h"
#include "internal/handover_receiver.h"
#include "internal/handover_sender.h"
#include "internal/job_service.h"
#include "internal/responder.h"

#include <map>

// Feeds of callers (RFC 7641): registration, notifications and handover to another agent.

namespace oriolehold::core::internal {

class feed_service final : private handover_source, private handover_sink
{
public:
    // The references must outlive the service.
    feed_service(const agent_core_options &options, agent_actions &actions, caller_channel &channel,
                 flow_issuer &issuer, responder &responder, body_store &bodies);

    void configure(const configuration_pointer &configuration, const upstream &self);

    // Handles a GET with Observe 0. A new feed starts only if hasFreeConnection is true.
    void subscribe(const request_context &context, const endpoint &entry, service_id service,
                   byte_view token, bool hasFreeConnection, time_point now);
    // Handles a GET with Observe 1. Returns false, and sends no response, when there is no such
    // feed.
    bool unsubscribe(const request_context &context, byte_view token, time_point now);

    void update(feed_id id, byte_view content, time_point now);
    void end(feed_id id, time_point now);
    void acknowledge(feed_id id, const endpoint &entry, time_point now);
    // Handles the rejection of a notification by its caller. Returns false when there is no such
    // feed.
    bool reject(const endpoint &caller, std::uint16_t messageId);
    // Removes a feed whose caller rejected or never acknowledged a confirmable notification.
    void discard(feed_id id) { remove(id); }

    void receiveHandover(const endpoint &from, const handover_message &message, time_point now);
    void drain(time_point now);

    // Number of open feeds and of those that another agent may commit.
    std::size_t connections() const { return m_feeds.size() + m_receiver.reserved(); }
    bool isIdle() const { return m_feeds.size() == 0; }

    time_point nextTimer() const;
    void advance(time_point now);

private:
    std::optional<feed_state> stateOf(feed_id id, time_point now) const override;
    void freeze(feed_id id, upstream_id newOwner, time_point now) override;
    void release(feed_id id) override;
    bool canAdopt(const feed_state &state) const override;
    void adopt(const feed_state &state, time_point now) override;

    void answerRegistration(feed &item, exchange_id exchange, time_point now);
    void notify(feed &item, time_point now);
    void publish(feed &item, time_point now);
    void endWith(feed &item, result_code code, time_point now);
    void remove(feed_id id);
    void schedule(feed &item);
    void runTimer(feed &item, time_point now);
    bool hasOwnershipExpired(const feed &item, time_point now) const;
    // Response with the latest state, block-wise when it is larger than one block.
    response contentOf(const feed &item, time_point now);
    std::uint32_t maxAge() const;

    agent_core_options m_options;
    agent_actions &m_actions;
    caller_channel &m_channel;
    flow_issuer &m_issuer;
    responder &m_responder;
    body_store &m_bodies;
    configuration_pointer m_configuration;
    const upstream *m_self = nullptr;
    bool m_draining = false;
    mutable feed_table m_feeds; // lookups do not change it
    handover_sender m_sender;
    handover_receiver m_receiver;
    // New owners of the feeds that this agent has committed.
    std::map<registration_key, upstream_id> m_handedOver;
    timer_index<std::uint64_t> m_timers;
};

} // namespace oriolehold::core::internal
