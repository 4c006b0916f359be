#include "internal/agent_implementation.h"
#include "internal/caller_request.h"
#include "oriolehold/core/diagnostic.h"

namespace oriolehold::core {

using coap::message_type;
using internal::token_binding;

namespace {

constexpr std::size_t ipAndUdpHeaderSize = 28; // bytes
constexpr std::size_t amplificationFactor = 3;

bool exceedsAmplificationLimit(std::size_t reply, std::size_t request)
{
    return reply + ipAndUdpHeaderSize > amplificationFactor * (request + ipAndUdpHeaderSize);
}

} // namespace

void agent_core::implementation::receive(const endpoint &entry, const endpoint &caller,
                                         service_id service, byte_view packet, time_point now,
                                         duration age)
{
    if (m_self == nullptr) {
        drop(result_code::unknownService);
        return;
    }
    m_channel.observeEntry(entry, now);
    const auto message = coap::message_view::parse(packet);
    if (!message) {
        drop(result_code::malformedMessage);
        return;
    }
    if (service != m_self->service) {
        drop(result_code::wrongService);
        return;
    }
    const incoming_packet incoming { entry, caller, service, now, age };
    const bool canCarryRequest = message->type() == message_type::confirmable
            || message->type() == message_type::nonConfirmable;
    if (message->isEmpty())
        receiveEmpty(incoming, *message);
    else if (message->isRequest() && canCarryRequest)
        receiveRequest(incoming, *message);
    else
        drop(message->isResponse() ? result_code::unsolicitedResponse
                                   : result_code::malformedMessage);
}

void agent_core::implementation::receiveEmpty(const incoming_packet &packet,
                                              const coap::message_view &message)
{
    const internal::message_key key { packet.caller, message.messageId() };
    if (message.type() == message_type::acknowledgement) {
        const auto finished = m_channel.finishConfirmable(key);
        if (!finished)
            drop(result_code::unknownFlow);
        else if (finished->feed)
            m_feeds.acknowledge(*finished->feed, packet.entry, packet.now);
        return;
    }
    if (message.type() != message_type::reset) {
        drop(result_code::unknownFlow);
        return;
    }
    const auto finished = m_channel.finishConfirmable(key);
    if (finished) {
        if (finished->feed)
            m_feeds.discard(*finished->feed);
        return;
    }
    if (m_feeds.reject(packet.caller, message.messageId()))
        return;
    // A caller may also cancel its own request with a Reset while the request is unanswered.
    const auto open = m_channel.findOpen(key);
    if (!open || !m_jobs.cancel(*open, packet.now))
        drop(result_code::unknownFlow);
}

void agent_core::implementation::receiveRequest(const incoming_packet &packet,
                                                const coap::message_view &message)
{
    const auto echo = message.option(coap::option_number::echo);
    if (!echo) { // entries answer requests without a token themselves
        drop(result_code::unknownFlow);
        return;
    }
    const token_result token = m_issuer.open(*echo, packet.caller, packet.now);
    if (token.status != token_status::valid) {
        rejectToken(packet, message, token);
        return;
    }
    if (token.token.service != m_self->service || token.token.upstream != m_self->id) {
        drop(result_code::wrongService);
        return;
    }
    const auto exchange =
            m_channel.open(packet.entry, packet.caller, packet.service, message, packet.now);
    if (exchange)
        serve(packet, message, token.token, *exchange);
}

void agent_core::implementation::rejectToken(const incoming_packet &packet,
                                             const coap::message_view &message,
                                             const token_result &token)
{
    internal::caller_request request;
    const bool decoded = decode(message, request) == internal::request_error::none;
    const service *owner = m_configuration->findService(m_self->service);
    const request_class *requestClass =
            decoded ? findClass(*owner, request.method, request.path) : nullptr;
    diagnostic_options options;
    flow_token_bytes echo {};
    result_code code = token.status == token_status::expired ? result_code::ticketExpired
                                                             : result_code::tokenInvalid;
    if (requestClass != nullptr && requestClass->idempotent) {
        code = result_code::challenge;
        const flow_token_bytes own = m_issuer.issue(packet.caller, packet.now);
        echo = m_drainStarted ? m_issuer.issueRedirect(packet.caller, packet.now).value_or(own)
                              : own;
        options.echo = echo;
    }
    options.messageId =
            static_cast<std::uint16_t>(m_self->index << 8 | (message.messageId() & 0xff));
    const coap::message_builder reply = buildDiagnostic(message, code, options);
    if (!reply.ok() || exceedsAmplificationLimit(reply.bytes().size(), message.bytes().size())) {
        drop(result_code::amplificationLimit);
        return;
    }
    m_actions.deliver(packet.entry, packet.caller, packet.service, reply.bytes());
}

void agent_core::implementation::serve(const incoming_packet &packet,
                                       const coap::message_view &message, const flow_token &token,
                                       internal::exchange_id exchange)
{
    internal::request_context context;
    const internal::request_error error = decode(message, context.request);
    if (error == internal::request_error::badMethod) {
        m_responder.reject(exchange, result_code::noSuchClass, packet.now);
        return;
    }
    if (error != internal::request_error::none) {
        m_responder.reject(exchange, result_code::badRequest, packet.now);
        return;
    }
    const service *owner = m_configuration->findService(m_self->service);
    context.requestClass = findClass(*owner, context.request.method, context.request.path);
    if (context.requestClass == nullptr) {
        m_responder.reject(exchange, result_code::noSuchClass, packet.now);
        return;
    }
    context.exchange = exchange;
    context.caller = packet.caller;
    context.payload = message.payload();
    context.binding = m_issuer.bindingOf(token);
    context.ticket = { token.issuedAt, token.ticket };
    context.hops = token.hops;
    context.age = packet.age;
    if (context.request.block2 && context.request.block2->number > 0)
        m_jobs.readBlock(context, packet.now);
    else if (context.requestClass->idempotent)
        serveIdempotent(packet, message, context);
    else
        serveNonIdempotent(context, packet.now);
}

void agent_core::implementation::serveIdempotent(const incoming_packet &packet,
                                                 const coap::message_view &message,
                                                 const internal::request_context &context)
{
    constexpr std::uint32_t observeRegister = 0;
    constexpr std::uint32_t observeDeregister = 1;
    const bool hasFreeConnection = connections() < m_self->connections;
    const bool isGet = context.request.method == request_method::get;
    if (isGet && context.request.observe == observeRegister
        && context.requestClass->kind == class_kind::feed) {
        m_feeds.subscribe(context, packet.entry, packet.service, message.token(), hasFreeConnection,
                          packet.now);
        return;
    }
    if (isGet && context.request.observe == observeDeregister) {
        if (m_feeds.unsubscribe(context, message.token(), packet.now))
            return;
        if (m_jobs.cancel(packet.caller, message.token(), packet.now)) {
            m_responder.reject(context.exchange, result_code::canceled, packet.now);
            return;
        }
    }
    m_jobs.submitIdempotent(context, hasFreeConnection, packet.now);
}

void agent_core::implementation::serveNonIdempotent(const internal::request_context &context,
                                                    time_point now)
{
    switch (context.binding) {
    case token_binding::current:
        m_jobs.submitNonIdempotent(context, now);
        return;
    case token_binding::stale:
        m_responder.reject(context.exchange, result_code::ownerRestarted, now);
        return;
    case token_binding::unbound:
        if (!m_responder.challenge(context.exchange, now, context.hops))
            m_responder.reject(context.exchange, result_code::draining, now);
        return;
    }
}

} // namespace oriolehold::core
