#include "oriolehold/entry/traffic_worker.h"

#include "oriolehold/core/balancing_policy_factory.h"

#include <sodium.h>

#include <algorithm>

namespace oriolehold::entry {

namespace {

constexpr core::duration probeInterval = std::chrono::milliseconds { 100 };

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof(seed));
    return seed;
}

core::entry_router_options routerOptions(const runtime::entry_settings &settings)
{
    core::entry_router_options options;
    options.zone = settings.zone;
    options.suspectAfter = settings.suspectAfter;
    options.warmUp = settings.warmUp;
    return options;
}

} // namespace

traffic_worker::traffic_worker(const runtime::entry_settings &settings)
    : m_policy(core::makeBalancingPolicy(settings.policy)), m_random(randomSeed()),
      m_router(routerOptions(settings), *m_policy, m_random),
      m_envelopes(settings.envelopeAddress, settings.trafficThreads > 1),
      m_nextProbes(m_clock.now())
{
    for (const runtime::listener &item : settings.listeners) {
        m_listeners.push_back(std::make_unique<caller_socket>(caller_socket {
                item.service, net::udp_socket(item.address, settings.trafficThreads > 1) }));
        caller_socket &listener = *m_listeners.back();
        m_loop.watch(listener.socket.descriptor(),
                     [this, &listener] { receiveFromCallers(listener); });
    }
    m_loop.watch(m_envelopes.descriptor(), [this] { receiveEnvelopes(); });
}

void traffic_worker::run()
{
    m_loop.run([this] { return onIdle(); });
}

void traffic_worker::configure(core::configuration_pointer configuration)
{
    m_loop.post([this, configuration = std::move(configuration)] {
        if (!m_router.configure(configuration, m_clock.now()))
            return;
        m_configuration = configuration;
        m_codec.emplace(configuration->content());
        m_generation = configuration->generation();
    });
}

core::duration traffic_worker::idleTime() const
{
    return m_clock.now().time_since_epoch() - core::duration { m_lastPacketTime.load() };
}

void traffic_worker::receiveFromCallers(caller_socket &listener)
{
    const core::time_point now = m_clock.now();
    const auto packets = listener.socket.receive();
    m_counters.received += packets.size();
    m_lastPacketTime = now.time_since_epoch().count();
    for (const net::datagram &packet : packets)
        routePacket(listener, packet, now);
}

void traffic_worker::routePacket(caller_socket &listener, const net::datagram &packet,
                                 core::time_point now)
{
    const core::route_decision decision =
            m_router.route(packet.peer, listener.service, packet.bytes, now);
    switch (decision.verdict) {
    case core::route_verdict::forward:
        ++m_counters.forwarded;
        forward(listener.service, packet, decision.agent);
        break;
    case core::route_verdict::reply:
        count(decision.code);
        listener.socket.send(packet.peer, decision.reply);
        break;
    case core::route_verdict::drop:
        count(decision.code);
        break;
    }
}

void traffic_worker::forward(core::service_id service, const net::datagram &packet,
                             const core::endpoint &agent)
{
    auto &message = std::get<wire::forward_message>(m_forward);
    message.caller = packet.peer;
    message.service = service;
    message.generation = m_router.generation();
    message.packet.assign(packet.bytes.begin(), packet.bytes.end());
    message.age = packet.age;
    m_codec->encode(m_forward, m_datagram);
    m_envelopes.send(agent, m_datagram);
}

void traffic_worker::receiveEnvelopes()
{
    const core::time_point now = m_clock.now();
    for (const net::datagram &envelope : m_envelopes.receive())
        handleEnvelope(envelope, now);
    for (const core::endpoint &agent : m_envelopes.takeUnreachablePeers())
        m_router.observeUnreachable(agent, now);
}

void traffic_worker::handleEnvelope(const net::datagram &envelope, core::time_point now)
{
    const auto message = m_codec ? m_codec->decode(envelope.bytes) : std::nullopt;
    if (!message) {
        count(core::result_code::badEnvelope);
        return;
    }
    if (const auto *delivery = std::get_if<wire::deliver_message>(&*message))
        deliver(envelope.peer, *delivery, now);
    else if (const auto *reply = std::get_if<wire::probe_reply_message>(&*message))
        m_router.observe(envelope.peer, reply->report, now);
    else
        count(core::result_code::badEnvelope);
}

void traffic_worker::deliver(const core::endpoint &agent, const wire::deliver_message &message,
                             core::time_point now)
{
    m_router.observe(agent, message.report, now);
    // An upstream that this configuration assigns to another service must not answer callers of
    // this service. An unknown upstream is newer than the configuration and is accepted, because
    // its envelope is authenticated.
    const core::upstream *upstream = m_configuration->findUpstream(message.report.upstream);
    const auto listener = std::ranges::find(m_listeners, message.service,
                                            [](const auto &item) { return item->service; });
    if (listener == m_listeners.end()
        || (upstream != nullptr && upstream->service != message.service)) {
        count(core::result_code::wrongService);
        return;
    }
    ++m_counters.delivered;
    m_lastPacketTime = now.time_since_epoch().count();
    (*listener)->socket.send(message.caller, message.packet);
}

void traffic_worker::sendProbes(core::time_point now)
{
    if (now < m_nextProbes)
        return;
    m_nextProbes = now + probeInterval;
    if (!m_codec || m_draining)
        return;
    const core::byte_vector probe = m_codec->encode(wire::probe_message { m_router.generation() });
    for (const core::endpoint &agent : m_router.probesDue(now)) {
        ++m_counters.probes;
        m_envelopes.send(agent, probe);
    }
}

core::duration traffic_worker::onIdle()
{
    const core::time_point now = m_clock.now();
    sendProbes(now);
    m_envelopes.flush();
    std::uint64_t failures = m_envelopes.sendFailures();
    for (const auto &listener : m_listeners) {
        listener->socket.flush();
        failures += listener->socket.sendFailures();
    }
    m_counters.sendFailures = failures;
    return m_nextProbes - now;
}

void traffic_worker::count(core::result_code code)
{
    const std::size_t index = core::toInteger(code);
    if (index < m_counters.byCode.size())
        ++m_counters.byCode[index];
}

} // namespace oriolehold::entry
