#pragma once

#include "internal/caller_channel.h"
#include "internal/flow_issuer.h"
#include "oriolehold/core/result_code.h"

// Sends responses with a fresh Echo, the token for the caller's next request.

namespace oriolehold::core::internal {

// Which owner the Echo of a response names. While draining, flows that end move to another
// upstream.
enum class flow_continuation : std::uint8_t {
    ended,    // the answer is complete
    continued // further requests of the caller belong to the same flow
};

class responder
{
public:
    // The references must outlive the responder.
    responder(caller_channel &channel, flow_issuer &issuer) : m_channel(channel), m_issuer(issuer)
    { }

    void drain() { m_draining = true; }
    bool isDraining() const { return m_draining; }

    void respond(exchange_id id, response value, flow_continuation continuation, time_point now);
    // Responds with a result of oriolehold itself. retryAfter is sent as Max-Age.
    void reject(exchange_id id, result_code code, time_point now,
                std::optional<std::chrono::seconds> retryAfter = std::nullopt);
    // Responds with 4.08: the requested block belongs to a body that is not stored any more.
    void rejectBlock(exchange_id id, time_point now);
    // Sends a challenge: the caller repeats the request with another token, for this agent, or for
    // another one while draining. Returns false, and sends nothing, when draining and no other one
    // is live.
    // hops is the number of times that the request was redirected before.
    bool challenge(exchange_id id, time_point now, std::uint8_t hops = 0);
    // A token for another live upstream of the service, empty when there is none.
    std::optional<flow_token_bytes> issueRedirect(const endpoint &caller, time_point now,
                                                  std::uint8_t hops);
    // Sends a challenge with this token.
    void sendChallenge(exchange_id id, const flow_token_bytes &echo, time_point now);
    // As challenge(), with a token for the given upstream.
    bool redirect(exchange_id id, upstream_id target, time_point now);

private:
    flow_token_bytes echoFor(const endpoint &caller, flow_continuation continuation,
                             time_point now);

    caller_channel &m_channel;
    flow_issuer &m_issuer;
    bool m_draining = false;
};

} // namespace oriolehold::core::internal
