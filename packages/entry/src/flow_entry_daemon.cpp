#include "oriolehold/entry/flow_entry_daemon.h"

#include "oriolehold/daemon/flow_daemon_settings.h"
#include "oriolehold/daemon/system_random.h"
#include "oriolehold/runtime/log_events.h"

#include <algorithm>
#include <utility>

namespace oriolehold::entry {

namespace {

using namespace std::chrono_literals;
using runtime::log_event;

// Interval of the daemon's own readiness checks while it is not ready.
constexpr core::duration readyCheckInterval = 50ms;
// The platform removes an instance from rotation after this number of failed readiness checks.
constexpr unsigned failedChecksUntilRemoved = 2;

flow::entry_identity identityOf(const runtime::flow_settings &settings, std::uint64_t bootId)
{
    flow::entry_identity identity { bootId, settings.zone, {}, false, settings.firstUseDelay };
    identity.seeds.resize(settings.seeds.size());
    std::ranges::transform(settings.seeds, identity.seeds.begin(), &core::endpoint::address);
    identity.isSeed = std::erase(identity.seeds, settings.packets.address) > 0;
    identity.sendsNotices = settings.evacuation || settings.warmUp.has_value();
    return identity;
}

// Result of a read, and why it failed.
template<typename Value>
struct read_outcome
{
    std::optional<Value> value;
    std::optional<flow::read_failure> failure;
};

template<typename Value>
read_outcome<Value> outcomeOf(const std::function<boost::leaf::result<Value>()> &read)
{
    read_outcome<Value> outcome;
    boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_ASSIGN(outcome.value, read());
                return {};
            },
            [&](flow::read_failure failure) { outcome.failure = failure; },
            [&] { outcome.failure = flow::read_failure::malformed; });
    return outcome;
}

// Whether another request would fail, too.
bool isStoreFailure(std::optional<flow::read_failure> failure)
{
    return failure == flow::read_failure::unreachable || failure == flow::read_failure::refused;
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
    m_counters.sent(message, m_scratch.size());
    m_messages.send({ machine, m_messagePort }, m_scratch);
}

flow_entry_daemon::flow_entry_daemon(const runtime::flow_settings &settings,
                                     const flow::packet_codec &codec,
                                     const view_source_factory &makeSource)
    : m_settings(settings), m_makeSource(makeSource), m_packets(settings.packets),
      m_messages({ settings.packets.address, settings.peerPort }),
      m_output(m_packets, m_messages, m_messageCounters), m_log({}),
      m_random(daemon::systemRandomNumber()), m_policy(m_random),
      m_balancer(identityOf(settings, m_random.next()), codec, m_documents, m_policy, m_output,
                 m_log),
      m_source(makeSource(settings.store, m_stopped)),
      m_admin(daemon::adminAddresses(settings), *this)
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
    m_trafficThread = std::thread([this] { m_loop.run([this] { return onIdle(); }); });
    m_controlThread = std::thread([this] { runControlLoop(); });
}

void flow_entry_daemon::drain()
{
    if (!m_draining.exchange(true))
        runtime::log(log_event::drainStarted, { { "program", "oriolehold-entry" } });
}

bool flow_entry_daemon::drained() const
{
    return m_draining.load() && m_failedReadyChecks.load() > failedChecksUntilRemoved;
}

void flow_entry_daemon::stop()
{
    m_stopped.store(true);
    m_controlWake.notify_all();
    m_admin.stop();
    m_loop.stop();
    if (m_trafficThread.joinable())
        m_trafficThread.join();
    if (m_controlThread.joinable())
        m_controlThread.join();
}

void flow_entry_daemon::receivePackets()
{
    const core::time_point now = m_clock.now();
    for (const net::datagram &item : m_packets.receive())
        m_balancer.receivePacket(item.bytes, item.peer.address, now);
}

void flow_entry_daemon::receiveMessages()
{
    const core::time_point now = m_clock.now();
    for (const net::datagram &item : m_messages.receive()) {
        const auto message = wire::decodeFlowMessage(item.bytes);
        if (!message)
            continue;
        m_messageCounters.received(*message, item.bytes.size());
        m_balancer.receiveMessage(item.peer.address, *message, now);
    }
}

core::duration flow_entry_daemon::onIdle()
{
    const core::time_point now = m_clock.now();
    const core::duration wait = m_balancer.tick(now);
    m_packets.flush();
    m_messages.flush();
    if (m_balancer.readDue(now) && !m_readInProgress)
        requestRead(now);
    updateReadiness(now);
    const std::scoped_lock lock(m_metricsMutex);
    m_publishedCounters = m_balancer.counters();
    m_publishedEvacuatedZones = m_balancer.directory().evacuatedZones().size();
    m_publishedUnheardAgents = m_balancer.directory().unheardAgents();
    m_publishedMessageCounters = m_messageCounters;
    return m_ready.load() ? wait : std::min(wait, readyCheckInterval);
}

void flow_entry_daemon::updateReadiness(core::time_point now)
{
    const bool isReady = m_balancer.ready(now);
    if (m_ready.exchange(isReady) == isReady)
        return;
    if (!isReady)
        runtime::log(log_event::isolated, { { "flows", m_balancer.knownFlows() } });
    else if (std::exchange(m_wasReady, true))
        runtime::log(log_event::isolationEnded);
    else
        runtime::log(log_event::processReady,
                     { { "version", m_balancer.view().configuration().version },
                       { "flows", m_balancer.knownFlows() } });
}

void flow_entry_daemon::requestRead(core::time_point now)
{
    m_readInProgress = true;
    m_balancer.beginRead(now);
    {
        const std::scoped_lock lock(m_controlMutex);
        m_readRequested = true;
    }
    m_controlWake.notify_one();
}

void flow_entry_daemon::runControlLoop()
{
    while (true) {
        {
            std::unique_lock lock(m_controlMutex);
            m_controlWake.wait(lock, [this] { return m_readRequested || m_stopped.load(); });
            if (m_stopped.load())
                return;
            m_readRequested = false;
            if (m_newStore)
                m_source = m_makeSource(*std::exchange(m_newStore, std::nullopt), m_stopped);
        }
        while (!readStore() && !m_stopped.load()) { }
        m_loop.post([this] { m_readInProgress = false; });
    }
}

bool flow_entry_daemon::readStore()
{
    using flow::read_failure;
    const core::time_point readAt = m_clock.now();
    // One of the two may be unreadable, for example by an entry of another writer; the other one is
    // followed.
    const auto configuration = outcomeOf<std::optional<flow::flow_configuration>>(
            [this] { return m_source->readConfiguration(); });
    read_outcome<flow::upstream_list> upstreams;
    if (!isStoreFailure(configuration.failure))
        upstreams = outcomeOf<flow::upstream_list>([this] { return m_source->readUpstreams(); });
    const std::optional<flow::flow_configuration> newConfiguration =
            configuration.value.value_or(std::nullopt);
    if (newConfiguration || upstreams.value)
        m_loop.post([this, newConfiguration, list = std::move(upstreams.value), readAt] {
            m_balancer.finishRead(newConfiguration, list, readAt, m_clock.now());
        });
    {
        const std::scoped_lock lock(m_metricsMutex);
        m_publishedSourceCounters = m_source->counters();
    }
    if (upstreams.failure == read_failure::incomplete)
        return false;
    const auto failure = configuration.failure ? configuration.failure : upstreams.failure;
    if (!failure != m_storeReachable)
        runtime::log(failure ? log_event::storeUnreachable : log_event::storeReachable,
                     { { "reason", failure ? flow::toString(*failure) : "" } });
    m_storeReachable = !failure;
    return true;
}

void flow_entry_daemon::reload()
{
    const auto reloaded = daemon::reloadSettings(m_settings, runtime::loadFlowEntrySettings);
    if (!reloaded || reloaded->store == m_settings.store)
        return;
    m_settings.store = reloaded->store;
    const std::scoped_lock lock(m_controlMutex);
    m_newStore = reloaded->store;
}

bool flow_entry_daemon::ready() const
{
    if (m_draining.load()) {
        ++m_failedReadyChecks;
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
    counter("packets_total", m_publishedCounters.packets);
    counter("packets_malformed_total", m_publishedCounters.malformed);
    counter("packets_misaddressed_total", m_publishedCounters.misaddressed);
    counter("flow_known_total", m_publishedCounters.knownFlow);
    counter("flow_placed_total", m_publishedCounters.placed);
    counter("flow_replaced_total", m_publishedCounters.replaced);
    counter("flow_searches_total", m_publishedCounters.searches);
    counter("flow_searches_widened_total", m_publishedCounters.widened);
    counter("flow_probes_total", m_publishedCounters.probes);
    counter("flow_search_relays_total", m_publishedCounters.relays);
    counter("flow_found_total", m_publishedCounters.found);
    counter("flow_searches_abandoned_total", m_publishedCounters.abandoned);
    counter("flow_owner_changes_total", m_publishedCounters.changed);
    counter("flow_resets_total", m_publishedCounters.resets);
    counter("flow_search_waits_avoided_total", m_publishedCounters.waitsAvoided);
    counter("flow_first_uses_delayed_total", m_publishedCounters.firstUsesDelayed);
    text += "# TYPE oriolehold_flow_resets_by_reason_total counter\n";
    for (std::size_t i = 0; i < flow::reset_counters::reasons.size(); ++i) {
        text.append("oriolehold_flow_resets_by_reason_total{reason=\"");
        text.append(flow::reset_counters::reasons[i]).append("\"} ");
        text.append(std::to_string(m_publishedCounters.resetsByReason[i])).append("\n");
    }
    counter("packets_dropped_total", m_publishedCounters.dropped);
    counter("flow_refused_evacuated_total", m_publishedCounters.refusedEvacuated);
    counter("flow_refused_overload_total", m_publishedCounters.refusedOverload);
    counter("store_restores_total", m_publishedCounters.storeRestores);
    counter("store_requests_total", m_publishedSourceCounters.requests);
    counter("store_entries_rejected_total", m_publishedSourceCounters.rejections);
    text += "# TYPE oriolehold_store_entries_rejected gauge\noriolehold_store_entries_rejected "
            + std::to_string(m_publishedSourceCounters.rejectedEntries) + "\n";
    text += "# TYPE oriolehold_zones_evacuated gauge\noriolehold_zones_evacuated "
            + std::to_string(m_publishedEvacuatedZones) + "\n";
    text += "# TYPE oriolehold_upstreams_without_agent gauge\n"
            "oriolehold_upstreams_without_agent "
            + std::to_string(m_publishedUnheardAgents) + "\n";
    return text + m_publishedMessageCounters.text() + m_log.histograms();
}

} // namespace oriolehold::entry
