#pragma once

#include "oriolehold/core/entry_router.h"
#include "oriolehold/net/event_loop.h"
#include "oriolehold/net/udp_socket.h"
#include "oriolehold/runtime/settings.h"
#include "oriolehold/wire/envelope.h"

#include <array>
#include <atomic>
#include <memory>
#include <optional>

// Packet path of the entry daemon: connects core::entry_router to its sockets and the event loop.

namespace oriolehold::entry {

// Counters that are written by the traffic thread and can be read by any thread.
struct traffic_counters
{
    std::atomic<std::uint64_t> received { 0 };              // packets from callers
    std::atomic<std::uint64_t> forwarded { 0 };             // packets to agents
    std::atomic<std::uint64_t> delivered { 0 };             // packets from agents to callers
    std::atomic<std::uint64_t> probes { 0 };                // probes to agents
    std::atomic<std::uint64_t> sendFailures { 0 };          // datagrams that the kernel refused
    std::array<std::atomic<std::uint64_t>, 8192> byCode {}; // replies and drops by result code
};

class traffic_worker
{
public:
    // Opens the sockets; throws std::system_error when an address cannot be bound. With several
    // traffic threads, all workers share the addresses. They need no shared state, because tokens
    // identify the owners of flows.
    explicit traffic_worker(const runtime::entry_settings &settings);

    // Runs the packet loop in the calling thread until stop().
    void run();
    void stop() { m_loop.stop(); }
    // Stops sending probes. An agent that receives nothing from this instance for one second
    // delivers through another instance.
    void drain() { m_draining = true; }
    // Applies a configuration. Can be called by any thread.
    void configure(core::configuration_pointer configuration);

    core::generation_number generation() const { return m_generation.load(); }
    const traffic_counters &counters() const { return m_counters; }
    // Time since the last packet from a caller or the last delivery to one.
    core::duration idleTime() const;

private:
    struct caller_socket
    {
        core::service_id service;
        net::udp_socket socket;
    };

    void receiveFromCallers(caller_socket &listener);
    void routePacket(caller_socket &listener, const net::datagram &packet, core::time_point now);
    void forward(core::service_id service, const net::datagram &packet,
                 const core::endpoint &agent);
    void receiveEnvelopes();
    void handleEnvelope(const net::datagram &envelope, core::time_point now);
    void deliver(const core::endpoint &agent, const wire::deliver_message &message,
                 core::time_point now);
    void sendProbes(core::time_point now);
    core::duration onIdle();
    void count(core::result_code code);

    net::daemon_clock m_clock;
    std::unique_ptr<core::balancing_policy> m_policy;
    core::seeded_random m_random;
    core::entry_router m_router;
    net::event_loop m_loop;
    std::vector<std::unique_ptr<caller_socket>> m_listeners;
    net::udp_socket m_envelopes;
    std::optional<wire::envelope_codec> m_codec;
    // Reused for every forwarded packet, so that forwarding does not allocate.
    wire::message m_forward { wire::forward_message {} };
    core::byte_vector m_datagram;
    core::configuration_pointer m_configuration;
    core::time_point m_nextProbes;
    traffic_counters m_counters;
    std::atomic<core::generation_number> m_generation { 0 };
    std::atomic<core::duration::rep> m_lastPacketTime { 0 };
    std::atomic<bool> m_draining { false };
};

} // namespace oriolehold::entry
