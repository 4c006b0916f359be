#include "internal/flow_issuer.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace oriolehold::core::internal {

namespace {

constexpr ticket_number ticketMask = (ticket_number { 1 } << 48) - 1;

double weightOf(const upstream *candidate)
{
    return static_cast<double>(candidate->slots) * candidate->strength;
}

} // namespace

void flow_issuer::configure(configuration_pointer configuration)
{
    m_configuration = std::move(configuration);
    m_self = m_configuration->findUpstream(m_selfId);
    m_codec.emplace(m_configuration->content());
}

token_result flow_issuer::open(byte_view bytes, const endpoint &caller, time_point now) const
{
    return m_codec->open(bytes, caller.address, now);
}

token_binding flow_issuer::bindingOf(const flow_token &token) const
{
    if (!token.isBound())
        return token_binding::unbound;
    return token.incarnation == m_incarnation ? token_binding::current : token_binding::stale;
}

flow_token_bytes flow_issuer::issue(const endpoint &caller, time_point now, std::uint8_t hops)
{
    return seal(*m_self, m_incarnation, caller, now, hops);
}

std::optional<flow_token_bytes> flow_issuer::issueRedirect(const endpoint &caller, time_point now,
                                                           std::uint8_t hops)
{
    const std::vector<const upstream *> others = otherLiveUpstreams(*m_configuration, *m_self);
    if (others.empty())
        return std::nullopt;
    const double total =
            std::accumulate(others.begin(), others.end(), 0.0,
                            [](double sum, const upstream *item) { return sum + weightOf(item); });
    double rest = m_random.uniform01() * total;
    const auto chosen = std::ranges::find_if(others, [&rest](const upstream *item) {
        rest -= weightOf(item);
        return rest < 0.0;
    });
    const upstream &target = chosen == others.end() ? *others.back() : **chosen;
    return seal(target, incarnation::unknown, caller, now, hops);
}

std::optional<flow_token_bytes> flow_issuer::issueRedirectTo(upstream_id target,
                                                             const endpoint &caller, time_point now)
{
    const upstream *found = m_configuration->findUpstream(target);
    if (found == nullptr || found->service != m_self->service)
        return std::nullopt;
    return seal(*found, incarnation::unknown, caller, now, 0);
}

flow_token_bytes flow_issuer::seal(const upstream &target, incarnation bound,
                                   const endpoint &caller, time_point now, std::uint8_t hops)
{
    flow_token token;
    token.service = target.service;
    token.upstream = target.id;
    token.agent = target.agent;
    token.incarnation = bound;
    token.issuedAt = unixSeconds(now);
    token.ticket = m_random.next() & ticketMask;
    token.hops = hops;
    return m_codec->seal(token, caller.address);
}

std::vector<const upstream *> otherLiveUpstreams(const configuration &configuration,
                                                 const upstream &self)
{
    std::vector<const upstream *> others;
    std::ranges::copy_if(configuration.upstreamsOf(self.service), std::back_inserter(others),
                         [&self](const upstream *item) {
                             return item->id != self.id && item->state == upstream_state::live;
                         });
    return others;
}

} // namespace oriolehold::core::internal
