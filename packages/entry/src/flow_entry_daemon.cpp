#include "oriolehold/entry/flow_entry_daemon.h"

#include "oriolehold/runtime/log_events.h"
#include "oriolehold/wire/flow_datagram.h"

#include <random>

namespace oriolehold::entry {

namespace {

using namespace std::chrono_literals;
using runtime::log_event;

// Routes and upstreams must be in force within a few seconds of their publication; three reads fit
// into the shortest such bound.
constexpr std::chrono::milliseconds readInterval { 1000 };
// Before the first complete view.
constexpr std::chrono::milliseconds firstReadInterval { 100 };
// The platform takes an instance out of rotation after this number of refused checks.
constexpr unsigned checksUntilRemoved = 2;

std::uint64_t randomNumber()
{
    std::random_device device;
    return std::uint64_t { device() } << 32 | device();
}

} // namespace

void flow_entry_daemon::socket_output::sendToAgent(std::uint32_t machine, core::byte_view packet)
{
    m_packets.send({ machine, m_packetPort }, packet);
}

void flow_entry_daemon::socket_output::sendToClient(std::uint32_t client, core::byte_view packet)
{
    m_packets.send({ client, m_packetPort }, packet);
}

void flow_entry_daemon::socket_output::sendMessage(std::uint32_t machine,
                                                   const flow::peer_message &message)
{
    wire::encodeFlowMessage(message, m_scratch);
    m_messages.send({ machine, m_messagePort }, m_scratch);
}

flow_entry_daemon::flow_entry_daemon(const runtime::flow_settings &settings,
                                     const flow::packet_codec &codec,
                                     const view_source_factory &makeSource)
    : m_settings(settings), m_packets(settings.packets),
      m_messages({ settings.packets.address, settings.peerPort }), m_output(m_packets, m_messages),
      m_random(randomNumber()), m_policy(m_random),
      m_balancer({ m_random.next(), settings.zone }, codec, m_policy, m_output, m_log),
      m_source(makeSource(m_stopped)), m_admin(settings.admin, *this)
{ }

flow_entry_daemon::~flow_entry_daemon()
{
    stop();
}

void flow_entry_daemon::start()
{
    m_loop.watch(m_packets.descriptor(), [this] { receivePackets(); });
    m_loop.watch(m_messages.descriptor(), [this] { receiveMessages(); });
    m_admin.start();
    m_traffic = std::thread([this] { m_loop.run([this] { return idle(); }); });
    m_control = std::thread([this] { readViews(); });
}

void flow_entry_daemon::drain()
{
    if (!m_draining.exchange(true))
        runtime::log(log_event::drainStarted, { { "program", "oriolehold-entry" } });
}

bool flow_entry_daemon::drained() const
{
    return m_draining.load() && m_refusedChecks.load() > checksUntilRemoved;
}

void flow_entry_daemon::stop()
{
    m_stopped.store(true);
    m_admin.stop();
    m_loop.stop();
    if (m_traffic.joinable())
        m_traffic.join();
    if (m_control.joinable())
        m_control.join();
}

void flow_entry_daemon::receivePackets()
{
    const core::time_point now = m_clock.now();
    for (const net::datagram &item : m_packets.receive())
        m_balancer.receivePacket(item.bytes, now);
}

void flow_entry_daemon::receiveMessages()
{
    const core::time_point now = m_clock.now();
    for (const net::datagram &item : m_messages.receive()) {
        if (const auto message = wire::decodeFlowMessage(item.bytes))
            m_balancer.receiveMessage(item.peer.address, *message, now);
    }
}

core::duration flow_entry_daemon::idle()
{
    const core::time_point now = m_clock.now();
    const core::duration wait = m_balancer.tick(now);
    m_packets.flush();
    m_messages.flush();
    if (!m_ready.load() && m_balancer.ready(now)) {
        m_ready.store(true);
        runtime::log(log_event::processReady,
                     { { "version", m_balancer.configurationVersion() },
                       { "flows", m_balancer.knownFlows() } });
    }
    const std::scoped_lock lock(m_metricsMutex);
    m_published = m_balancer.counters();
    return m_ready.load() ? wait : std::min<core::duration>(wait, firstReadInterval);
}

void flow_entry_daemon::readViews()
{
    while (!m_stopped.load()) {
        const auto begin = std::chrono::steady_clock::now();
        readOnce();
        std::this_thread::sleep_until(begin + (m_ready.load() ? readInterval : firstReadInterval));
    }
}

void flow_entry_daemon::readOnce()
{
    const core::time_point readAt = m_clock.now();
    std::string_view failure;
    boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(upstreams, m_source->readUpstreams());
                m_loop.post([this, upstreams = std::move(upstreams), readAt] {
                    m_balancer.setUpstreams(upstreams, readAt, m_clock.now());
                });
                BOOST_LEAF_AUTO(configuration, m_source->readConfiguration());
                if (configuration) {
                    runtime::log(log_event::routesInForce,
                                 { { "version", configuration->version },
                                   { "routes", configuration->routes.size() } });
                    m_loop.post([this, configuration = std::move(*configuration), readAt] {
                        m_balancer.setConfiguration(configuration, readAt);
                    });
                }
                return {};
            },
            [&](flow::read_failure reason) { failure = flow::toString(reason); },
            [&] { failure = "unknown"; });
    const bool reachable = failure.empty();
    if (reachable != m_storeReachable)
        runtime::log(reachable ? log_event::storeReachable : log_event::storeUnreachable,
                     { { "reason", failure } });
    m_storeReachable = reachable;
}

bool flow_entry_daemon::ready() const
{
    if (m_draining.load()) {
        ++m_refusedChecks;
        return false;
    }
    return m_ready.load();
}

std::string flow_entry_daemon::metrics() const
{
    const std::scoped_lock lock(m_metricsMutex);
    std::string text;
    const auto counter = [&](std::string_view name, std::uint64_t value) {
        text.append("# TYPE oriolehold_").append(name).append(" counter\noriolehold_");
        text.append(name).append(" ").append(std::to_string(value)).append("\n");
    };
    counter("packets_total", m_published.packets);
    counter("packets_malformed_total", m_published.malformed);
    counter("flow_known_total", m_published.knownFlow);
    counter("flow_placed_total", m_published.placed);
    counter("flow_replaced_total", m_published.replaced);
    counter("flow_searches_total", m_published.searches);
    counter("flow_probes_total", m_published.probes);
    counter("flow_found_total", m_published.found);
    counter("flow_resets_total", m_published.resets);
    counter("packets_dropped_total", m_published.dropped);
    return text;
}

} // namespace oriolehold::entry
