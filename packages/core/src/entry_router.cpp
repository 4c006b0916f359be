#include "oriolehold/core/entry_router.h"

#include "internal/token_bucket.h"
#include "internal/unconfigured_agents.h"
#include "internal/upstream_view.h"
#include "oriolehold/core/diagnostic.h"
#include "oriolehold/core/invariant.h"
#include "oriolehold/core/request_classification.h"

#include <algorithm>
#include <bitset>
#include <limits>

namespace oriolehold::core {

namespace {

using coap::message_code;
using coap::message_type;
using coap::message_view;
using internal::agent_liveness;
using internal::upstream_view;

constexpr std::size_t ipUdpHeaderSize = 28; // IPv4 and UDP
constexpr std::size_t maxAmplification = 3;
constexpr std::uint32_t noUpstreamMaxAge = 1; // seconds
constexpr ticket_number ticketMask = (ticket_number { 1 } << 48) - 1;
// Number of probes of an agent with unanswered messages within suspectAfter, so that several probes
// must be lost before a slow agent becomes suspect.
constexpr int probesBeforeSuspicion = 4;
// Interval of the probes that refresh load reports without traffic, if the probe limit allows.
constexpr duration reportRefreshInterval = std::chrono::seconds { 1 };

constexpr std::uint32_t noPosition = std::numeric_limits<std::uint32_t>::max();

// Largest response, in bytes, to a request of this size within the amplification limit.
std::size_t maxResponseSize(std::size_t requestSize)
{
    return maxAmplification * (requestSize + ipUdpHeaderSize) - ipUdpHeaderSize;
}

// Whether an upstream may be chosen for a new flow, in descending order of preference.
enum class availability : std::uint8_t {
    usable,
    suspect,  // or without a free connection; only if no upstream is usable
    draining, // only if no other upstream is left
    excluded, // leaving by configuration
};

struct service_view
{
    service_view(const core::service &configured, const entry_router_options &options)
        : service(&configured),
          challengeLimiter(options.challengesPerSecond, options.challengeBurst)
    { }

    const core::service *service;
    std::vector<std::uint32_t> upstreams; // positions of the service's upstream views
    internal::token_bucket challengeLimiter;
};

// Maps 16-bit identifiers to positions in a vector in constant time.
class position_index
{
public:
    void set(std::size_t id, std::size_t position)
    {
        if (id >= m_positions.size())
            m_positions.resize(id + 1, noPosition);
        m_positions[id] = static_cast<std::uint32_t>(position);
    }

    template<typename Value>
    Value *find(std::size_t id, std::vector<Value> &values) const
    {
        if (id >= m_positions.size() || m_positions[id] == noPosition)
            return nullptr;
        return &values[m_positions[id]];
    }

private:
    std::vector<std::uint32_t> m_positions;
};

// All state that depends on the current configuration.
struct view_table
{
    configuration_pointer configuration;
    std::vector<upstream_view> upstreams;
    std::vector<service_view> services;
    position_index upstreamsById;
    position_index servicesById;
};

// A request that is being routed.
struct packet_context
{
    endpoint caller;
    service_view &service;
    const message_view &request;
    time_point now;
};

route_decision drop(result_code code)
{
    return { route_verdict::drop, code, {}, {} };
}

route_decision forwardTo(const endpoint &agent)
{
    return { route_verdict::forward, result_code::done, agent, {} };
}

struct due_probe
{
    endpoint agent;
    agent_liveness *liveness;
    bool urgent; // unanswered, but not suspect yet
};

// Alternates between both lists, each sorted by the time of the last probe, oldest first. So
// neither starves the other when the probe limit is reached.
std::vector<due_probe> interleave(std::vector<due_probe> first, std::vector<due_probe> second)
{
    const auto lastProbe = [](const due_probe &probe) {
        return probe.liveness->probedAt.value_or(time_point::min());
    };
    std::ranges::stable_sort(first, {}, lastProbe);
    std::ranges::stable_sort(second, {}, lastProbe);
    std::vector<due_probe> result;
    result.reserve(first.size() + second.size());
    for (std::size_t i = 0; i < std::max(first.size(), second.size()); ++i) {
        if (i < first.size())
            result.push_back(first[i]);
        if (i < second.size())
            result.push_back(second[i]);
    }
    return result;
}

bool isRequestType(message_type type)
{
    return type == message_type::confirmable || type == message_type::nonConfirmable;
}

} // namespace

class entry_router::implementation
{
public:
    implementation(entry_router_options options, balancing_policy &policy, random_source &random)
        : m_options(std::move(options)), m_policy(policy), m_random(random),
          m_silenceDetector(m_options.suspectAfter),
          m_probeLimiter(m_options.probesPerSecond, probeBurst()),
          m_nextMessageId(static_cast<std::uint16_t>(random.next()))
    { }

    bool configure(configuration_pointer configuration, time_point now);
    generation_number generation() const;
    route_decision route(const endpoint &caller, service_id service, byte_view packet,
                         time_point now);
    void observe(const endpoint &agent, const agent_report &report, time_point now);
    void observeUnreachable(const endpoint &agent, time_point now);
    std::vector<endpoint> probesDue(time_point now);

private:
    double probeBurst() const { return std::max(1.0, m_options.probesPerSecond); }
    upstream_view *findByAgent(const endpoint &agent);
    bool isSuspect(const agent_liveness &liveness, time_point now) const;
    availability availabilityOf(const upstream_view &view, bool needsConnection,
                                time_point now) const;
    bool hasUsableUpstream(const service_view &service, time_point now) const;
    upstream_view *chooseUpstream(service_view &service, class_kind kind, time_point now);
    bool belongsToOtherService(const endpoint &agent, service_id service) const;

    route_decision routeEmpty(service_id service, const message_view &message);
    route_decision routeWithEcho(const packet_context &packet, byte_view echo);
    route_decision routeToConfigured(const packet_context &packet, const flow_token &token,
                                     upstream_view &owner);
    route_decision routeToUnconfigured(const packet_context &packet, const flow_token &token);
    route_decision routeToSuspectOrRemoved(const packet_context &packet, const flow_token &token,
                                           agent_liveness &liveness, bool removed);
    route_decision routeInvalidToken(const packet_context &packet);
    // hops is the hop count of the token that the challenge replaces.
    route_decision challenge(const packet_context &packet, std::uint8_t hops = 0);
    route_decision reply(const message_view &request, result_code code,
                         diagnostic_options options = {});
    route_decision replyBytes(const message_view &request, result_code code, byte_view bytes);
    flow_token newToken(const upstream_view &owner, time_point now, std::uint8_t hops);
    bool isProbeDue(const agent_liveness &liveness, bool refresh, time_point now) const;

    entry_router_options m_options;
    balancing_policy &m_policy;
    random_source &m_random;
    view_table m_table;
    std::optional<flow_token_codec> m_tokens;
    std::bitset<std::numeric_limits<std::uint16_t>::max() + 1> m_removed; // by upstream id
    internal::unconfigured_agents m_unconfigured;
    internal::silence_detector m_silenceDetector;
    internal::token_bucket m_probeLimiter;
    bool m_lastProbeWasUrgent = false;
    std::uint16_t m_nextMessageId;
    std::array<std::uint8_t, coap::maxMessageSize> m_reply {};
    // Reused by every choice, so that choices allocate no memory once the vectors have grown.
    std::vector<upstream_candidate> m_candidates;
    std::vector<upstream_view *> m_candidateViews;
};

bool entry_router::implementation::configure(configuration_pointer configuration, time_point now)
{
    if (configuration == nullptr || configuration->generation() <= generation())
        return false;
    const configuration_content &content = configuration->content();
    view_table table;
    table.services.reserve(content.services.size());
    for (const service &item : content.services) {
        table.servicesById.set(toInteger(item.id), table.services.size());
        table.services.emplace_back(item, m_options);
        const service_view *previous =
                m_table.servicesById.find(toInteger(item.id), m_table.services);
        if (previous != nullptr)
            table.services.back().challengeLimiter = previous->challengeLimiter;
    }
    table.upstreams.reserve(content.upstreams.size());
    for (const upstream &item : content.upstreams) {
        const std::size_t position = table.upstreams.size();
        table.upstreamsById.set(toInteger(item.id), position);
        upstream_view &view = table.upstreams.emplace_back(item, item.zone == m_options.zone);
        const upstream_view *previous =
                m_table.upstreamsById.find(toInteger(item.id), m_table.upstreams);
        if (previous != nullptr && previous->agent() == item.agent)
            view.copyStateFrom(*previous);
        else if (generation() != 0)
            view.startWarmUp(now);
        service_view *service = table.servicesById.find(toInteger(item.service), table.services);
        if (service != nullptr)
            service->upstreams.push_back(static_cast<std::uint32_t>(position));
    }
    for (const upstream_view &previous : m_table.upstreams)
        m_removed.set(toInteger(previous.upstream().id));
    for (const upstream &item : content.upstreams)
        m_removed.reset(toInteger(item.id));
    m_tokens.emplace(content);
    table.configuration = std::move(configuration);
    m_table = std::move(table);
    return true;
}

generation_number entry_router::implementation::generation() const
{
    return m_table.configuration == nullptr ? 0 : m_table.configuration->generation();
}

route_decision entry_router::implementation::route(const endpoint &caller, service_id serviceId,
                                                   byte_view packet, time_point now)
{
    service_view *service = m_table.servicesById.find(toInteger(serviceId), m_table.services);
    if (service == nullptr)
        return drop(result_code::unknownService);
    const std::optional<message_view> message = message_view::parse(packet);
    if (!message)
        return drop(result_code::malformedMessage);
    if (message->isEmpty())
        return routeEmpty(serviceId, *message);
    if (message->isResponse())
        return drop(result_code::unsolicitedResponse);
    if (!message->isRequest() || !isRequestType(message->type()))
        return drop(result_code::malformedMessage);
    const packet_context context { caller, *service, *message, now };
    const std::optional<byte_view> echo = message->option(coap::option_number::echo);
    return echo ? routeWithEcho(context, *echo) : challenge(context);
}

route_decision entry_router::implementation::routeEmpty(service_id service,
                                                        const message_view &message)
{
    switch (message.type()) {
    case message_type::confirmable: { // a CoAP ping
        const coap::message_builder reset(message_type::reset, message_code::empty,
                                          message.messageId());
        return replyBytes(message, result_code::done, reset.bytes());
    }
    case message_type::nonConfirmable:
        return drop(result_code::malformedMessage);
    case message_type::acknowledgement:
    case message_type::reset:
        break;
    }
    const auto index = static_cast<std::uint8_t>(message.messageId() >> 8);
    const upstream *owner = m_table.configuration->findUpstreamByIndex(service, index);
    return owner == nullptr ? drop(result_code::unknownOwner) : forwardTo(owner->agent);
}

route_decision entry_router::implementation::routeWithEcho(const packet_context &packet,
                                                           byte_view echo)
{
    const token_result opened = m_tokens->open(echo, packet.caller.address, packet.now);
    const flow_token &token = opened.token;
    if (opened.status != token_status::valid || token.service != packet.service.service->id)
        return routeInvalidToken(packet);
    upstream_view *owner = m_table.upstreamsById.find(toInteger(token.upstream), m_table.upstreams);
    const bool isConfigured =
            owner != nullptr && owner->agent() == token.agent && owner->service() == token.service;
    return isConfigured ? routeToConfigured(packet, token, *owner)
                        : routeToUnconfigured(packet, token);
}

route_decision entry_router::implementation::routeToConfigured(const packet_context &packet,
                                                               const flow_token &token,
                                                               upstream_view &owner)
{
    ORIOLEHOLD_INVARIANT(owner.service() == packet.service.service->id,
                         "a packet is forwarded within its service");
    if (isSuspect(owner.liveness(), packet.now)) [[unlikely]]
        return routeToSuspectOrRemoved(packet, token, owner.liveness(), false);
    owner.liveness().markSent(packet.now);
    return forwardTo(owner.agent());
}

// The owner was removed, or the configuration of this router is older than the token.
route_decision entry_router::implementation::routeToUnconfigured(const packet_context &packet,
                                                                 const flow_token &token)
{
    if (belongsToOtherService(token.agent, token.service))
        return routeInvalidToken(packet);
    agent_liveness &liveness = m_unconfigured.at(token.agent);
    const bool removed = m_removed.test(toInteger(token.upstream));
    const bool suspect = isSuspect(liveness, packet.now);
    if (removed || suspect)
        return routeToSuspectOrRemoved(packet, token, liveness, removed);
    liveness.markSent(packet.now);
    return forwardTo(token.agent);
}

// Moves idempotent requests to another upstream once the owner was removed or has not answered a
// probe, and other requests under an unbound token, which no agent runs. All others stay with the
// owner, which may have run them already.
route_decision entry_router::implementation::routeToSuspectOrRemoved(const packet_context &packet,
                                                                     const flow_token &token,
                                                                     agent_liveness &liveness,
                                                                     bool removed)
{
    const request_class *matched = classifyRequest(*packet.service.service, packet.request);
    if (matched == nullptr)
        return reply(packet.request, result_code::noSuchClass);
    // Without another upstream, every new challenge would select the same owner again.
    const bool unreachable = liveness.isUnreachable(packet.now);
    const bool gone = removed || unreachable || m_silenceDetector.isSilentToProbes(liveness);
    const bool mayMove = matched->idempotent ? gone : !token.isBound();
    if (mayMove && hasUsableUpstream(packet.service, packet.now))
        return challenge(packet, token.isBound() ? 0 : token.hops);
    if (unreachable || (removed && m_silenceDetector.isSilent(liveness)))
        return reply(packet.request, result_code::ownerUnreachable);
    liveness.markSent(packet.now);
    return forwardTo(token.agent);
}

route_decision entry_router::implementation::routeInvalidToken(const packet_context &packet)
{
    const request_class *matched = classifyRequest(*packet.service.service, packet.request);
    if (matched == nullptr)
        return reply(packet.request, result_code::noSuchClass);
    return matched->idempotent ? challenge(packet)
                               : reply(packet.request, result_code::tokenInvalid);
}

route_decision entry_router::implementation::challenge(const packet_context &packet,
                                                       std::uint8_t hops)
{
    if (!packet.service.challengeLimiter.tryAcquire(packet.now))
        return drop(result_code::rateLimited);
    const request_class *matched = classifyRequest(*packet.service.service, packet.request);
    if (matched == nullptr)
        return reply(packet.request, result_code::noSuchClass);
    upstream_view *owner = chooseUpstream(packet.service, matched->kind, packet.now);
    if (owner == nullptr)
        return reply(packet.request, result_code::noUpstream, { .maxAge = noUpstreamMaxAge });
    owner->markAssigned(packet.now);
    const flow_token_bytes echo =
            m_tokens->seal(newToken(*owner, packet.now, hops), packet.caller.address);
    return reply(packet.request, result_code::challenge, { .echo = echo });
}

route_decision entry_router::implementation::reply(const message_view &request, result_code code,
                                                   diagnostic_options options)
{
    options.messageId = m_nextMessageId++;
    options.maxSize = std::min(maxResponseSize(request.bytes().size()), coap::maxMessageSize);
    return replyBytes(request, code, buildDiagnostic(request, code, options).bytes());
}

route_decision entry_router::implementation::replyBytes(const message_view &request,
                                                        result_code code, byte_view bytes)
{
    if (bytes.empty() || bytes.size() > maxResponseSize(request.bytes().size()))
        return drop(result_code::amplificationLimit);
    std::ranges::copy(bytes, m_reply.begin());
    return { route_verdict::reply, code, {}, byte_view(m_reply).first(bytes.size()) };
}

flow_token entry_router::implementation::newToken(const upstream_view &owner, time_point now,
                                                  std::uint8_t hops)
{
    const upstream &configured = owner.upstream();
    return { configured.service,
             configured.id,
             configured.agent,
             owner.currentIncarnation(now),
             unixSeconds(now),
             m_random.next() & ticketMask,
             hops };
}

bool entry_router::implementation::belongsToOtherService(const endpoint &agent,
                                                         service_id service) const
{
    const upstream *known = m_table.configuration->findUpstreamByAgent(agent);
    return known != nullptr && known->service != service;
}

bool entry_router::implementation::isSuspect(const agent_liveness &liveness, time_point now) const
{
    return m_silenceDetector.isSilent(liveness) || liveness.isUnreachable(now);
}

availability entry_router::implementation::availabilityOf(const upstream_view &view,
                                                          bool needsConnection,
                                                          time_point now) const
{
    if (view.upstream().state != upstream_state::live)
        return availability::excluded;
    if (view.isDraining())
        return availability::draining;
    const bool full = needsConnection && !view.hasFreeConnection();
    return full || isSuspect(view.liveness(), now) ? availability::suspect : availability::usable;
}

bool entry_router::implementation::hasUsableUpstream(const service_view &service,
                                                     time_point now) const
{
    return std::ranges::any_of(service.upstreams, [&](std::uint32_t position) {
        return availabilityOf(m_table.upstreams[position], false, now) == availability::usable;
    });
}

upstream_view *entry_router::implementation::chooseUpstream(service_view &service, class_kind kind,
                                                            time_point now)
{
    const bool needsConnection = kind != class_kind::request;
    availability best = availability::excluded;
    m_candidateViews.clear();
    for (const std::uint32_t position : service.upstreams) {
        upstream_view &view = m_table.upstreams[position];
        const availability current = availabilityOf(view, needsConnection, now);
        if (current == availability::excluded || current > best)
            continue;
        if (current < best)
            m_candidateViews.clear();
        best = current;
        m_candidateViews.push_back(&view);
    }
    if (m_candidateViews.empty())
        return nullptr;
    m_candidates.clear();
    for (const upstream_view *view : m_candidateViews)
        m_candidates.push_back(view->candidate(kind, m_options.warmUp, now));
    const std::size_t chosen = m_policy.choose(m_candidates, m_random);
    ORIOLEHOLD_INVARIANT(chosen < m_candidateViews.size(),
                         "a policy chooses one of its candidates");
    return m_candidateViews[chosen];
}

upstream_view *entry_router::implementation::findByAgent(const endpoint &agent)
{
    if (m_table.configuration == nullptr)
        return nullptr;
    const upstream *known = m_table.configuration->findUpstreamByAgent(agent);
    return known == nullptr ? nullptr
                            : m_table.upstreamsById.find(toInteger(known->id), m_table.upstreams);
}

void entry_router::implementation::observe(const endpoint &agent, const agent_report &report,
                                           time_point now)
{
    upstream_view *view = findByAgent(agent);
    // A different id means that the router or the agent has an old configuration.
    if (view != nullptr && view->upstream().id == report.upstream) {
        const agent_liveness &liveness = view->liveness();
        if (m_silenceDetector.isSilent(liveness)
            && now - *liveness.unansweredSince >= m_options.warmUp)
            view->startWarmUp(now);
        view->observe(report, now);
    } else if (agent_liveness *liveness = m_unconfigured.find(agent)) {
        liveness->markReceived(now);
    }
    m_silenceDetector.markReceived(now);
}

void entry_router::implementation::observeUnreachable(const endpoint &agent, time_point now)
{
    if (upstream_view *view = findByAgent(agent))
        view->liveness().unreachableAt = now;
    else if (agent_liveness *liveness = m_unconfigured.find(agent))
        liveness->unreachableAt = now;
}

bool entry_router::implementation::isProbeDue(const agent_liveness &liveness, bool refresh,
                                              time_point now) const
{
    const duration urgentInterval = m_options.suspectAfter / probesBeforeSuspicion;
    const bool suspect = isSuspect(liveness, now);
    const duration interval =
            liveness.unansweredSince && !suspect ? urgentInterval : reportRefreshInterval;
    const auto isOlder = [&](const std::optional<time_point> &time) {
        return !time || now - *time >= interval;
    };
    if (!isOlder(liveness.probedAt))
        return false;
    return liveness.unansweredSince ? isOlder(liveness.unansweredSince)
                                    : refresh && isOlder(liveness.receivedAt);
}

std::vector<endpoint> entry_router::implementation::probesDue(time_point now)
{
    std::vector<due_probe> urgent;
    std::vector<due_probe> regular;
    const auto consider = [&](const endpoint &agent, agent_liveness &liveness, bool refresh) {
        if (!isProbeDue(liveness, refresh, now))
            return;
        const bool isUrgent = liveness.unansweredSince.has_value() && !isSuspect(liveness, now);
        (isUrgent ? urgent : regular).push_back({ agent, &liveness, isUrgent });
    };
    for (upstream_view &view : m_table.upstreams) {
        const bool live = view.upstream().state == upstream_state::live;
        consider(view.agent(), view.liveness(), live);
    }
    for (internal::unconfigured_agents::entry &item : m_unconfigured.entries())
        consider(item.agent, item.liveness, false);
    std::vector<endpoint> agents;
    if (m_lastProbeWasUrgent)
        std::swap(urgent, regular);
    for (const due_probe &probe : interleave(std::move(urgent), std::move(regular))) {
        if (!m_probeLimiter.tryAcquire(now))
            break;
        probe.liveness->markProbed(now);
        agents.push_back(probe.agent);
        m_lastProbeWasUrgent = probe.urgent;
    }
    return agents;
}

entry_router::entry_router(entry_router_options options, balancing_policy &policy,
                           random_source &random)
    : m_implementation(std::make_unique<implementation>(std::move(options), policy, random))
{ }

entry_router::~entry_router() = default;

bool entry_router::configure(configuration_pointer configuration, time_point now)
{
    return m_implementation->configure(std::move(configuration), now);
}

generation_number entry_router::generation() const
{
    return m_implementation->generation();
}

route_decision entry_router::route(const endpoint &caller, service_id service, byte_view packet,
                                   time_point now)
{
    return m_implementation->route(caller, service, packet, now);
}

void entry_router::observe(const endpoint &agent, const agent_report &report, time_point now)
{
    m_implementation->observe(agent, report, now);
}

void entry_router::observeUnreachable(const endpoint &agent, time_point now)
{
    m_implementation->observeUnreachable(agent, now);
}

std::vector<endpoint> entry_router::probesDue(time_point now)
{
    return m_implementation->probesDue(now);
}

} // namespace oriolehold::core
