#pragma once

#include "oriolehold/admin/admin_server.h"
#include "oriolehold/daemon/decision_log.h"
#include "oriolehold/daemon/managed_process.h"
#include "oriolehold/daemon/message_counters.h"
#include "oriolehold/flow/entry_balancer.h"
#include "oriolehold/net/event_loop.h"
#include "oriolehold/net/udp_socket.h"
#include "oriolehold/runtime/settings.h"
#include "oriolehold/wire/flow_codec.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace oriolehold::entry {

// Creates the source that reads routes and upstreams from the store. Its reads return early once
// stopped is set.
using view_source_factory = std::function<std::unique_ptr<flow::view_source>(
        const core::endpoint &store, const std::atomic<bool> &stopped)>;

// The entry daemon of the flow path: one traffic thread, one control thread that reads the store,
// and the administration server.
class flow_entry_daemon final : public daemon::managed_process, private admin::status_source
{
public:
    // codec must outlive the daemon. Throws std::system_error when an address cannot be bound.
    flow_entry_daemon(const runtime::flow_settings &settings, const flow::packet_codec &codec,
                      const view_source_factory &makeSource);
    ~flow_entry_daemon() override;

    void start() override;
    void drain() override;
    std::string settingsFile() const override { return m_settings.file; }
    void reload() override;
    bool drained() const override;
    void stop() override;

private:
    // Sends through the sockets of the traffic thread.
    class socket_output final : public flow::entry_output
    {
    public:
        socket_output(net::udp_socket &packets, net::udp_socket &messages,
                      daemon::message_counters &counters)
            : m_packets(packets), m_messages(messages), m_packetPort(packets.local().port),
              m_messagePort(messages.local().port), m_counters(counters)
        { }
        void sendToAgent(std::uint32_t machine, core::byte_view packet) override;
        void sendToClient(std::uint32_t client, core::byte_view packet) override;
        void sendMessage(std::uint32_t machine, const flow::peer_message &message) override;

    private:
        net::udp_socket &m_packets;
        net::udp_socket &m_messages;
        const std::uint16_t m_packetPort;
        const std::uint16_t m_messagePort;
        daemon::message_counters &m_counters;
        core::byte_vector m_scratch;
    };

    void receivePackets();
    void receiveMessages();
    core::duration onIdle();
    void updateReadiness(core::time_point now);
    void requestRead(core::time_point now);
    void runControlLoop();
    // Reads configuration and upstreams once. Returns false when the list of upstreams is
    // incomplete, so that the next call continues it.
    bool readStore();

    bool ready() const override;
    std::string metrics() const override;
    std::string state() const override { return "{}"; }
    std::string document() const override { return {}; }
    bool drainEnabled() const override { return false; }
    bool drain(std::string_view) override { return false; }
    std::string_view readyPath() const override { return m_settings.readyPath; }

    runtime::flow_settings m_settings; // store: changed by the thread of runUntilStopped()
    const view_source_factory m_makeSource;
    const wire::flow_document_codec m_documents;
    net::daemon_clock m_clock;
    net::event_loop m_loop;
    net::udp_socket m_packets;
    net::udp_socket m_messages;
    daemon::message_counters m_messageCounters; // traffic thread only
    socket_output m_output;
    daemon::decision_log m_log;
    core::seeded_random m_random;
    flow::expected_time_policy m_policy;
    flow::entry_balancer m_balancer; // traffic thread only
    std::atomic<bool> m_stopped { false };
    std::unique_ptr<flow::view_source> m_source; // control thread only
    bool m_storeReachable = true;                // control thread only
    bool m_readInProgress = false;               // traffic thread only
    bool m_wasReady = false;                     // traffic thread only
    std::mutex m_controlMutex;
    std::condition_variable m_controlWake;
    bool m_readRequested = false;             // guarded by m_controlMutex
    std::optional<core::endpoint> m_newStore; // guarded by m_controlMutex
    admin::admin_server m_admin;

    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_draining { false };
    mutable std::atomic<unsigned> m_failedReadyChecks { 0 }; // since the drain began
    mutable std::mutex m_metricsMutex;
    flow::entry_counters m_publishedCounters;            // guarded by m_metricsMutex
    std::size_t m_publishedEvacuatedZones = 0;           // guarded by m_metricsMutex
    std::size_t m_publishedUnheardAgents = 0;            // guarded by m_metricsMutex
    flow::source_counters m_publishedSourceCounters;     // guarded by m_metricsMutex
    daemon::message_counters m_publishedMessageCounters; // guarded by m_metricsMutex
    std::thread m_trafficThread;
    std::thread m_controlThread;
};

} // namespace oriolehold::entry
