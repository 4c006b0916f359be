#include "internal/responder.h"

#include "oriolehold/core/diagnostic.h"

namespace oriolehold::core::internal {

void responder::respond(exchange_id id, response value, flow_continuation continuation,
                        time_point now)
{
    const exchange *open = m_channel.find(id);
    if (open == nullptr)
        return;
    const flow_token_bytes echo = echoFor(open->caller, continuation, now);
    value.echo = echo;
    m_channel.respond(id, value, now);
}

void responder::reject(exchange_id id, result_code code, time_point now,
                       std::optional<std::chrono::seconds> retryAfter)
{
    response value;
    value.code = responseCode(code);
    value.payload = coap::asBytes(diagnosticText(code));
    if (retryAfter)
        value.maxAge = static_cast<std::uint32_t>(retryAfter->count());
    respond(id, value, flow_continuation::ended, now);
}

void responder::rejectBlock(exchange_id id, time_point now)
{
    response value;
    value.code = coap::message_code::requestEntityIncomplete;
    value.payload = coap::asBytes(diagnosticText(result_code::badRequest));
    respond(id, value, flow_continuation::ended, now);
}

bool responder::challenge(exchange_id id, time_point now, std::uint8_t hops)
{
    const exchange *open = m_channel.find(id);
    if (open == nullptr)
        return false;
    const std::optional<flow_token_bytes> echo = m_draining
            ? m_issuer.issueRedirect(open->caller, now, nextHopCount(hops))
            : std::optional(m_issuer.issue(open->caller, now, hops));
    if (echo)
        sendChallenge(id, *echo, now);
    return echo.has_value();
}

std::optional<flow_token_bytes> responder::issueRedirect(const endpoint &caller, time_point now,
                                                         std::uint8_t hops)
{
    return m_issuer.issueRedirect(caller, now, hops);
}

bool responder::redirect(exchange_id id, upstream_id target, time_point now)
{
    const exchange *open = m_channel.find(id);
    if (open == nullptr)
        return false;
    const std::optional<flow_token_bytes> echo =
            m_issuer.issueRedirectTo(target, open->caller, now);
    if (echo)
        sendChallenge(id, *echo, now);
    return echo.has_value();
}

void responder::sendChallenge(exchange_id id, const flow_token_bytes &echo, time_point now)
{
    response value;
    value.code = responseCode(result_code::challenge);
    value.payload = coap::asBytes(diagnosticText(result_code::challenge));
    value.echo = echo;
    m_channel.respond(id, value, now);
}

flow_token_bytes responder::echoFor(const endpoint &caller, flow_continuation continuation,
                                    time_point now)
{
    if (m_draining && continuation == flow_continuation::ended) {
        if (const auto echo = m_issuer.issueRedirect(caller, now))
            return *echo;
    }
    return m_issuer.issue(caller, now);
}

} // namespace oriolehold::core::internal
