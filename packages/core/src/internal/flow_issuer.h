#pragma once

#include "oriolehold/core/configuration.h"
#include "oriolehold/core/flow_token.h"

#include <optional>

// Issues and verifies flow tokens for one agent.

namespace oriolehold::core::internal {

// Incarnation that a valid token is bound to, compared with that of this agent.
enum class token_binding : std::uint8_t {
    current, // bound to this incarnation
    stale,   // bound to another incarnation
    unbound,
};

class flow_issuer
{
public:
    // random must outlive the issuer.
    flow_issuer(upstream_id self, incarnation own, random_source &random)
        : m_selfId(self), m_incarnation(own), m_random(random)
    { }

    // The configuration must contain the upstream.
    void configure(configuration_pointer configuration);

    token_result open(byte_view bytes, const endpoint &caller, time_point now) const;
    token_binding bindingOf(const flow_token &token) const;

    // Issues a token for this agent with a new ticket, bound to this incarnation. hops is the
    // number of times that the request was redirected.
    flow_token_bytes issue(const endpoint &caller, time_point now, std::uint8_t hops = 0);
    // Issues an unbound token for another live upstream of the service, chosen at random with
    // weight slots * strength. Empty if there is none.
    std::optional<flow_token_bytes> issueRedirect(const endpoint &caller, time_point now,
                                                  std::uint8_t hops = 0);
    // Issues an unbound token for the given upstream. Empty if it is not one of the service.
    std::optional<flow_token_bytes> issueRedirectTo(upstream_id target, const endpoint &caller,
                                                    time_point now);

private:
    flow_token_bytes seal(const upstream &target, incarnation bound, const endpoint &caller,
                          time_point now, std::uint8_t hops);

    upstream_id m_selfId;
    incarnation m_incarnation;
    random_source &m_random;
    configuration_pointer m_configuration;
    const upstream *m_self = nullptr;
    std::optional<flow_token_codec> m_codec;
};

// The live upstreams of the service of self, without self.
std::vector<const upstream *> otherLiveUpstreams(const configuration &configuration,
                                                 const upstream &self);

} // namespace oriolehold::core::internal
