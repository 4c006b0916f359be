#pragma once

#include "oriolehold/admin/admin_server.h"
#include "oriolehold/daemon/decision_log.h"
#include "oriolehold/daemon/managed_process.h"
#include "oriolehold/daemon/message_counters.h"
#include "oriolehold/flow/flow_agent.h"
#include "oriolehold/net/event_loop.h"
#include "oriolehold/net/udp_socket.h"
#include "oriolehold/runtime/settings.h"
#include "oriolehold/wire/flow_codec.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace oriolehold::agent {

// The agent daemon of the flow path, which runs next to one upstream: one traffic thread and the
// administration server. It does not read the store.
class flow_agent_daemon final : public daemon::managed_process, private admin::status_source
{
public:
    // codec must outlive the daemon. Throws std::system_error when an address cannot be bound.
    flow_agent_daemon(const runtime::flow_settings &settings, const flow::packet_codec &codec);
    ~flow_agent_daemon() override;

    void start() override;
    void drain() override;
    std::string settingsFile() const override { return m_settings.file; }
    // Only logs whether the settings changed; none of them can change while the agent runs.
    void reload() override;
    bool drained() const override { return m_draining.load(); }
    void stop() override;

private:
    // Sends through the sockets of the traffic thread.
    class socket_output final : public flow::agent_output
    {
    public:
        socket_output(net::udp_socket &packets, net::udp_socket &upstream,
                      net::udp_socket &messages, const core::endpoint &upstreamAddress,
                      daemon::message_counters &counters)
            : m_packets(packets), m_upstream(upstream), m_messages(messages),
              m_upstreamAddress(upstreamAddress), m_packetPort(packets.local().port),
              m_messagePort(messages.local().port), m_counters(counters)
        { }
        void sendToUpstream(core::byte_view packet) override;
        void sendToClient(std::uint32_t client, core::byte_view packet) override;
        void sendToEntry(const core::endpoint &entry, core::byte_view packet) override;
        void sendToAgent(std::uint32_t machine, core::byte_view packet) override;
        void sendMessage(std::uint32_t machine, const flow::peer_message &message) override;

    private:
        net::udp_socket &m_packets;
        net::udp_socket &m_upstream;
        net::udp_socket &m_messages;
        const core::endpoint m_upstreamAddress;
        const std::uint16_t m_packetPort;
        const std::uint16_t m_messagePort;
        daemon::message_counters &m_counters;
        core::byte_vector m_scratch;
    };

    void receivePackets();
    void receiveUpstream();
    void receiveMessages();
    core::duration onIdle();

    bool ready() const override { return !m_draining.load(); }
    std::string metrics() const override;
    std::string state() const override { return "{}"; }
    std::string document() const override { return {}; }
    bool drainEnabled() const override { return false; }
    bool drain(std::string_view) override { return false; }
    std::string_view readyPath() const override { return m_settings.readyPath; }

    const runtime::flow_settings m_settings;
    const wire::flow_document_codec m_documents;
    net::daemon_clock m_clock;
    net::event_loop m_loop;
    net::udp_socket m_packets;
    net::udp_socket m_upstream;
    net::udp_socket m_messages;
    daemon::message_counters m_messageCounters; // traffic thread only
    socket_output m_output;
    daemon::decision_log m_log;
    flow::flow_agent m_agent; // traffic thread only
    admin::admin_server m_admin;

    std::atomic<bool> m_draining { false };
    mutable std::mutex m_metricsMutex;
    flow::agent_counters m_publishedCounters;            // guarded by m_metricsMutex
    daemon::message_counters m_publishedMessageCounters; // guarded by m_metricsMutex
    std::size_t m_publishedFlows = 0;                    // guarded by m_metricsMutex
    bool m_publishedLimit = false;                       // guarded by m_metricsMutex
    bool m_publishedEvacuated = false;                   // guarded by m_metricsMutex
    flow::pace_change m_publishedPace;                   // guarded by m_metricsMutex
    std::thread m_trafficThread;
};

} // namespace oriolehold::agent
