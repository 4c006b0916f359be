#include "internal/feed_service.h"

#include "internal/observe_sequence.h"
#include "oriolehold/core/diagnostic.h"
#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <utility>

namespace oriolehold::core::internal {

namespace {

// A notification is confirmable at least this often, to detect a caller that does not respond.
constexpr int notificationsPerConfirmable = 16;
constexpr std::chrono::seconds confirmableInterval { 20 };
// An owner that sent no notification for this many keep-alive intervals, because its process was
// paused, closes the feed: the caller has registered with another agent in the meantime, and a feed
// must have one owner only.
constexpr int ownershipTimeoutIntervals = 3;
// Repeated registrations that wait for the first state of one feed.
constexpr std::size_t maxRegistrations = 16;

} // namespace

feed_service::feed_service(const agent_core_options &options, agent_actions &actions,
                           caller_channel &channel, flow_issuer &issuer, responder &responder,
                           body_store &bodies)
    : m_options(options), m_actions(actions), m_channel(channel), m_issuer(issuer),
      m_responder(responder), m_bodies(bodies), m_sender(options.incarnation, actions, *this),
      m_receiver(actions, *this)
{ }

void feed_service::configure(const configuration_pointer &configuration, const upstream &self)
{
    m_configuration = configuration;
    m_self = &self;
    m_sender.setTargets(otherLiveUpstreams(*configuration, self));
}

void feed_service::subscribe(const request_context &context, const endpoint &entry,
                             service_id service, byte_view token, bool hasFreeConnection,
                             time_point now)
{
    const registration_key key = makeRegistrationKey(context.caller, token);
    const auto moved = m_handedOver.find(key);
    if (moved != m_handedOver.end() && m_responder.redirect(context.exchange, moved->second, now))
        return;

    const time_point deadline =
            now + context.request.deadline.value_or(context.requestClass->deadline);
    feed *known = m_feeds.find(key);
    if (known != nullptr && !known->frozen
        && (known->state.path != context.request.path
            || known->state.queries != context.request.queries)) {
        remove(known->id);
        known = nullptr;
        hasFreeConnection = true; // the one of the feed that is replaced
    }
    if (known != nullptr && !known->frozen) {
        known->entry = entry;
        if (known->content == nullptr && known->registrations.empty())
            known->firstStateDeadline = deadline;
        answerRegistration(*known, context.exchange, now);
        return;
    }
    if (m_draining) {
        if (!m_responder.challenge(context.exchange, now))
            m_responder.reject(context.exchange, result_code::draining, now);
        return;
    }
    if (!hasFreeConnection) {
        m_responder.reject(context.exchange, result_code::connectionLimit, now);
        m_actions.recordResult(context.requestClass->name, result_code::connectionLimit, {}, {},
                               {});
        return;
    }
    feed_state state;
    state.caller = context.caller;
    state.token.assign(token.begin(), token.end());
    state.service = service;
    state.path = context.request.path;
    state.queries = context.request.queries;
    feed &added = m_feeds.add(std::move(state));
    added.className = context.requestClass->name;
    added.entry = entry;
    added.registrations = { context.exchange };
    added.registered = now;
    added.firstStateDeadline = deadline;
    added.lastSent = now;
    added.lastAcknowledged = now;
    schedule(added);
    m_actions.startFeed(added.id, added.state);
}

bool feed_service::unsubscribe(const request_context &context, byte_view token, time_point now)
{
    const registration_key key = makeRegistrationKey(context.caller, token);
    const auto moved = m_handedOver.find(key);
    if (moved != m_handedOver.end())
        return m_responder.redirect(context.exchange, moved->second, now);
    feed *known = m_feeds.find(key);
    if (known == nullptr)
        return false;
    const feed_id id = known->id;
    if (known->content != nullptr) {
        const response value = contentOf(*known, now);
        const bool whole = !value.block2 || !value.block2->more;
        m_responder.respond(context.exchange, value,
                            whole ? flow_continuation::ended : flow_continuation::continued, now);
    } else {
        m_responder.reject(context.exchange, result_code::canceled, now);
    }
    remove(id);
    return true;
}

void feed_service::update(feed_id id, byte_view content, time_point now)
{
    feed *item = m_feeds.find(id);
    if (item == nullptr || item->frozen)
        return;
    if (item->content != nullptr && hasOwnershipExpired(*item, now)) {
        remove(id);
        return;
    }
    item->content = std::make_shared<const byte_vector>(content.begin(), content.end());
    if (item->registrations.empty()) {
        publish(*item, now);
        return;
    }
    m_actions.recordResult(item->className, result_code::done, {}, now - item->registered,
                           now - item->registered);
    for (const exchange_id exchange : std::exchange(item->registrations, {}))
        answerRegistration(*item, exchange, now);
}

void feed_service::end(feed_id id, time_point now)
{
    feed *item = m_feeds.find(id);
    // A leaving upstream may close its feeds while they are handed over to another agent.
    if (item == nullptr || item->frozen || (m_draining && item->content != nullptr))
        return;
    endWith(*item, result_code::upstreamFailed, now);
}

void feed_service::acknowledge(feed_id id, const endpoint &entry, time_point now)
{
    feed *item = m_feeds.find(id);
    if (item == nullptr)
        return;
    item->entry = entry;
    item->confirmablePending = false;
    item->lastAcknowledged = now;
}

bool feed_service::reject(const endpoint &caller, std::uint16_t messageId)
{
    const feed *item = m_feeds.findByMessage(caller, messageId);
    if (item == nullptr)
        return false;
    if (!item->frozen) // otherwise the caller rejects the new owner's next notification
        remove(item->id);
    return true;
}

void feed_service::receiveHandover(const endpoint &from, const handover_message &message,
                                   time_point now)
{
    if (message.step == handover_step::offer || message.step == handover_step::commit)
        m_receiver.receive(from, message, now);
    else
        m_sender.receive(from, message, now);
}

void feed_service::drain(time_point now)
{
    m_draining = true;
    for (const feed_id id : m_feeds.ids())
        m_sender.start(id, now);
}

time_point feed_service::nextTimer() const
{
    return std::min({ m_timers.next(), m_sender.nextTimer(), m_receiver.nextTimer() });
}

void feed_service::advance(time_point now)
{
    while (const auto id = m_timers.popDue(now)) {
        if (feed *item = m_feeds.find(feed_id { *id }))
            runTimer(*item, now);
    }
    m_sender.advance(now);
    m_receiver.advance(now);
}

std::optional<feed_state> feed_service::stateOf(feed_id id, time_point now) const
{
    const feed *item = m_feeds.find(id);
    const bool owned =
            item != nullptr && (item->content == nullptr || !hasOwnershipExpired(*item, now));
    return owned ? std::optional(item->state) : std::nullopt;
}

void feed_service::freeze(feed_id id, upstream_id newOwner, time_point now)
{
    feed *item = m_feeds.find(id);
    item->frozen = true;
    m_handedOver[keyOf(item->state)] = newOwner;
    m_channel.cancelRetransmissions(id);
    m_timers.cancel(toInteger(id));
    for (const exchange_id exchange : std::exchange(item->registrations, {}))
        m_responder.redirect(exchange, newOwner, now);
    m_actions.stopFeed(id);
}

void feed_service::release(feed_id id)
{
    m_feeds.erase(id);
}

bool feed_service::canAdopt(const feed_state &state) const
{
    if (m_draining || m_self == nullptr || state.service != m_self->service)
        return false;
    const std::size_t used = connections() + m_bodies.unfinished();
    return m_feeds.find(keyOf(state)) != nullptr || used < m_self->connections;
}

void feed_service::adopt(const feed_state &state, time_point now)
{
    // This agent may have handed the same feed over before.
    m_handedOver.erase(keyOf(state));
    feed *known = m_feeds.find(keyOf(state));
    if (known != nullptr && known->frozen) {
        m_feeds.erase(known->id);
        known = nullptr;
    }
    if (known != nullptr) { // the caller registered with this agent before the commit
        if (isNewerObserve(state.sequence, known->state.sequence))
            known->state.sequence = state.sequence;
        return;
    }
    feed &added = m_feeds.add(state);
    const service *owner = m_configuration->findService(state.service);
    const request_class *requestClass =
            owner == nullptr ? nullptr : findClass(*owner, request_method::get, state.path);
    added.className = requestClass == nullptr ? std::string() : requestClass->name;
    added.registered = now;
    added.firstStateDeadline = now + ownershipTimeoutIntervals * m_options.keepAlive;
    added.lastSent = now;
    added.lastAcknowledged = time_point {}; // the first notification is confirmable
    const feed_id id = added.id;
    schedule(added);
    m_actions.startFeed(id, added.state);
    if (m_draining)
        m_sender.start(id, now);
}

void feed_service::answerRegistration(feed &item, exchange_id exchange, time_point now)
{
    if (item.content == nullptr) {
        if (item.registrations.size() < maxRegistrations)
            item.registrations.push_back(exchange);
        else
            m_channel.closeUnanswered(exchange);
        schedule(item);
        return;
    }
    item.state.sequence = nextObserve(item.state.sequence, now);
    response value = contentOf(item, now);
    value.observe = item.state.sequence;
    value.maxAge = maxAge();
    item.lastSent = now;
    item.hasUnsentContent = false;
    m_responder.respond(exchange, value, flow_continuation::continued, now);
    schedule(item);
}

void feed_service::publish(feed &item, time_point now)
{
    item.hasUnsentContent = true;
    if (m_channel.nextSendTime(item.state.caller) <= now)
        notify(item, now);
    else
        schedule(item);
}

void feed_service::notify(feed &item, time_point now)
{
    ORIOLEHOLD_INVARIANT(!item.frozen, "a feed that was handed over sends no notifications");
    item.state.sequence = nextObserve(item.state.sequence, now);
    ++item.notificationsSinceConfirmable;
    // The next notification may come one keep-alive interval later.
    const bool due = item.notificationsSinceConfirmable >= notificationsPerConfirmable
            || now + m_options.keepAlive >= item.lastAcknowledged + confirmableInterval;
    const bool confirmable = due && !item.confirmablePending;
    const flow_token_bytes echo = m_issuer.issue(item.state.caller, now);
    response value = contentOf(item, now);
    value.observe = item.state.sequence;
    value.maxAge = maxAge();
    value.echo = echo;
    const notification_target target { item.id, item.entry, item.state.caller, item.state.service,
                                       item.state.token };
    item.recordMessageId(m_channel.notify(target, value, confirmable, now));
    if (confirmable) {
        item.notificationsSinceConfirmable = 0;
        item.confirmablePending = true;
    }
    item.lastSent = now;
    item.hasUnsentContent = false;
    schedule(item);
}

void feed_service::endWith(feed &item, result_code code, time_point now)
{
    const feed_id id = item.id;
    for (const exchange_id exchange : item.registrations)
        m_responder.reject(exchange, code, now);
    if (item.content != nullptr) {
        const flow_token_bytes echo = m_issuer.issue(item.state.caller, now);
        response value;
        value.code = responseCode(code);
        value.payload = coap::asBytes(diagnosticText(code));
        value.echo = echo;
        const notification_target target { id, item.entry, item.state.caller, item.state.service,
                                           item.state.token };
        m_channel.cancelRetransmissions(id);
        m_channel.notify(target, value, true, now);
        m_timers.cancel(toInteger(id));
        m_feeds.erase(id);
        return;
    }
    m_actions.recordResult(item.className, code, {}, now - item.registered, now - item.registered);
    remove(id);
}

void feed_service::remove(feed_id id)
{
    feed *item = m_feeds.find(id);
    if (item == nullptr || item->frozen)
        return;
    for (const exchange_id exchange : item->registrations)
        m_channel.closeUnanswered(exchange);
    m_channel.cancelRetransmissions(id);
    m_timers.cancel(toInteger(id));
    m_feeds.erase(id);
    m_actions.stopFeed(id);
}

void feed_service::schedule(feed &item)
{
    if (item.frozen)
        return;
    time_point next = item.firstStateDeadline;
    if (item.content != nullptr) {
        next = item.lastSent + m_options.keepAlive;
        if (item.hasUnsentContent)
            next = std::min(next, m_channel.nextSendTime(item.state.caller));
    }
    if (next != never)
        m_timers.set(toInteger(item.id), next);
}

void feed_service::runTimer(feed &item, time_point now)
{
    if (item.content == nullptr)
        endWith(item, result_code::upstreamTimeout, now);
    else if (hasOwnershipExpired(item, now))
        remove(item.id);
    else if (item.hasUnsentContent && m_channel.nextSendTime(item.state.caller) > now
             && now < item.lastSent + m_options.keepAlive)
        schedule(item);
    else
        notify(item, now);
}

bool feed_service::hasOwnershipExpired(const feed &item, time_point now) const
{
    return now - item.lastSent > ownershipTimeoutIntervals * m_options.keepAlive;
}

response feed_service::contentOf(const feed &item, time_point now)
{
    response value;
    const coap::block_option first { 0, false, defaultBlockExponent };
    if (item.content->size() <= first.size()) {
        value.payload = *item.content;
        return value;
    }
    const body_key key { item.state.caller, item.bodyDigest };
    if (m_bodies.put(key, coap::message_code::content, item.content, now))
        value = m_bodies.read(key, first, now).content;
    else
        value.code = coap::message_code::internalServerError;
    return value;
}

std::uint32_t feed_service::maxAge() const
{
    return static_cast<std::uint32_t>(
            std::chrono::ceil<std::chrono::seconds>(m_options.keepAlive).count());
}

} // namespace oriolehold::core::internal
