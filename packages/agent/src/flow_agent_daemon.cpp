#include "oriolehold/agent/flow_agent_daemon.h"

#include "oriolehold/daemon/flow_daemon_settings.h"
#include "oriolehold/daemon/system_random.h"
#include "oriolehold/runtime/log_events.h"

namespace oriolehold::agent {

namespace {

using runtime::log_event;

std::optional<flow::opening_bounds> boundsOf(const runtime::flow_settings &settings)
{
    if (!settings.warmUp)
        return std::nullopt;
    return flow::opening_bounds { settings.warmUp->overage, settings.warmUp->slack };
}

} // namespace

void flow_agent_daemon::socket_output::sendToUpstream(core::byte_view packet)
{
    m_upstream.send(m_upstreamAddress, packet);
}

void flow_agent_daemon::socket_output::sendToClient(std::uint32_t client, core::byte_view packet)
{
    m_packets.send({ client, m_packetPort }, packet);
}

void flow_agent_daemon::socket_output::sendToEntry(const core::endpoint &entry,
                                                   core::byte_view packet)
{
    m_packets.send(entry, packet);
}

void flow_agent_daemon::socket_output::sendToAgent(std::uint32_t machine, core::byte_view packet)
{
    m_packets.send({ machine, m_packetPort }, packet);
}

void flow_agent_daemon::socket_output::sendMessage(std::uint32_t machine,
                                                   const flow::peer_message &message)
{
    wire::encodeFlowMessage(message, m_scratch);
    m_counters.sent(message, m_scratch.size());
    m_messages.send({ machine, m_messagePort }, m_scratch);
}

flow_agent_daemon::flow_agent_daemon(const runtime::flow_settings &settings,
                                     const flow::packet_codec &codec)
    : m_settings(settings), m_packets(settings.packets), m_upstream(settings.upstreamPackets),
      m_messages({ settings.packets.address, settings.peerPort }),
      m_output(m_packets, m_upstream, m_messages, settings.upstream, m_messageCounters),
      m_log(settings.service), m_agent({ daemon::systemRandomNumber(),
                                         settings.service,
                                         boundsOf(settings),
                                         { settings.pace, settings.overloadControl } },
                                       codec, m_documents, m_output, m_log),
      m_admin(daemon::adminAddresses(settings), *this)
{ }

flow_agent_daemon::~flow_agent_daemon()
{
    stop();
}

void flow_agent_daemon::start()
{
    m_loop.watch(m_packets.descriptor(), [this] { receivePackets(); });
    m_loop.watch(m_upstream.descriptor(), [this] { receiveUpstream(); });
    m_loop.watch(m_messages.descriptor(), [this] { receiveMessages(); });
    m_admin.start();
    m_trafficThread = std::thread([this] { m_loop.run([this] { return onIdle(); }); });
    runtime::log(log_event::processReady, { { "service", m_settings.service } });
}

void flow_agent_daemon::drain()
{
    if (!m_draining.exchange(true))
        runtime::log(log_event::drainStarted, { { "program", "oriolehold-agent" } });
}

void flow_agent_daemon::reload()
{
    daemon::reloadSettings(m_settings, runtime::loadFlowAgentSettings);
}

void flow_agent_daemon::stop()
{
    m_admin.stop();
    m_loop.stop();
    if (m_trafficThread.joinable())
        m_trafficThread.join();
}

void flow_agent_daemon::receivePackets()
{
    const core::time_point now = m_clock.now();
    for (const net::datagram &item : m_packets.receive())
        m_agent.receiveFromEntry(item.peer, item.bytes, now);
}

void flow_agent_daemon::receiveUpstream()
{
    const core::time_point now = m_clock.now();
    for (const net::datagram &item : m_upstream.receive())
        m_agent.receiveFromUpstream(item.bytes, now);
}

void flow_agent_daemon::receiveMessages()
{
    const core::time_point now = m_clock.now();
    for (const net::datagram &item : m_messages.receive()) {
        const auto message = wire::decodeFlowMessage(item.bytes);
        if (!message)
            continue;
        m_messageCounters.received(*message, item.bytes.size());
        m_agent.receiveMessage(item.peer.address, *message, now);
    }
}

core::duration flow_agent_daemon::onIdle()
{
    const core::time_point now = m_clock.now();
    const core::duration wait = m_agent.tick(now);
    m_upstream.flush();
    m_agent.upstreamFlushed(m_clock.now());
    m_packets.flush();
    m_messages.flush();
    const std::scoped_lock lock(m_metricsMutex);
    m_publishedCounters = m_agent.counters();
    m_publishedMessageCounters = m_messageCounters;
    m_publishedFlows = m_agent.openFlows();
    m_publishedEvacuated = m_agent.evacuated(now);
    m_publishedLimit = m_agent.limitsOpenings(now);
    m_publishedPace = m_agent.pace();
    return wait;
}

std::string flow_agent_daemon::metrics() const
{
    const std::scoped_lock lock(m_metricsMutex);
    std::string text;
    const auto add = [&](std::string_view name, std::string_view type, std::uint64_t value) {
        text.append("# TYPE oriolehold_").append(name).append(" ").append(type);
        text.append("\noriolehold_").append(name).append(" ");
        text.append(std::to_string(value)).append("\n");
    };
    add("packets_from_entries_total", "counter", m_publishedCounters.fromEntries);
    add("packets_from_upstream_total", "counter", m_publishedCounters.fromUpstream);
    add("packets_malformed_total", "counter", m_publishedCounters.malformed);
    add("packets_other_service_total", "counter", m_publishedCounters.otherService);
    add("flow_opened_total", "counter", m_publishedCounters.opened);
    add("flow_refused_total", "counter", m_publishedCounters.refused);
    add("flow_refused_cold_total", "counter", m_publishedCounters.refusedCold);
    add("flow_openings_waited_total", "counter", m_publishedCounters.openingsWaited);
    add("upstream_limited", "gauge", m_publishedLimit ? 1 : 0);
    add("flow_refused_overload_total", "counter", m_publishedCounters.overloaded);
    add("requests_released_late_total", "counter", m_publishedCounters.releasedLate);
    add("requests_caller_left_total", "counter", m_publishedCounters.callerLeft);
    add("flow_absent_total", "counter", m_publishedCounters.absent);
    add("flow_claims_total", "counter", m_publishedCounters.claims);
    add("flow_search_relays_total", "counter", m_publishedCounters.relayed);
    add("flow_refused_evacuated_total", "counter", m_publishedCounters.refusedEvacuated);
    add("flows_open", "gauge", m_publishedFlows);
    add("zone_evacuated", "gauge", m_publishedEvacuated ? 1 : 0);
    add("upstream_requests", "gauge", m_publishedPace.running);
    if (m_settings.pace) {
        add("upstream_limit", "gauge", m_publishedPace.limit);
        text.append("# TYPE oriolehold_upstream_limit_reason gauge\n");
        text.append("oriolehold_upstream_limit_reason{reason=\"");
        text.append(m_publishedPace.reason).append("\"} 1\n");
    }
    return text + m_publishedMessageCounters.text() + m_log.histograms();
}

} // namespace oriolehold::agent
