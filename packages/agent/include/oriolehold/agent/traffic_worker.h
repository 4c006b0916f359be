#pragma once

#include "oriolehold/agent/upstream_client.h"
#include "oriolehold/core/agent_core.h"
#include "oriolehold/core/class_histograms.h"
#include "oriolehold/core/slot_scheduler.h"
#include "oriolehold/net/event_loop.h"
#include "oriolehold/net/udp_socket.h"
#include "oriolehold/runtime/settings.h"
#include "oriolehold/wire/envelope.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

// Packet path of the agent: connects core::agent_core to its socket, the upstream client and the
// event loop.

namespace oriolehold::agent {

class traffic_worker final : private core::agent_actions, private upstream_events
{
public:
    // Opens the sockets; throws std::system_error when an address cannot be bound.
    explicit traffic_worker(const runtime::agent_settings &settings);
    ~traffic_worker() override;

    // Runs the packet loop in the calling thread until stop().
    void run();
    void stop() { m_loop.stop(); }
    // configure() and drain() can be called by any thread.
    void configure(core::configuration_pointer configuration);
    void drain();

    core::generation_number generation() const { return m_generation.load(); }
    bool drained() const { return m_drained.load(); }
    // Returns the latest report of the traffic thread, at most one timer interval old.
    core::agent_report report() const;
    std::uint64_t badEnvelopes() const { return m_badEnvelopes.load(); }
    std::string histogramText() const; // Prometheus text format

private:
    // agent_actions
    void deliver(const core::endpoint &entry, const core::endpoint &caller,
                 core::service_id service, core::byte_view message) override;
    void startJob(const core::upstream_request &request) override;
    void cancelJob(core::job_id job) override;
    void startFeed(core::feed_id feed, const core::feed_state &state) override;
    void stopFeed(core::feed_id feed) override;
    void sendHandover(const core::endpoint &agent, const core::handover_message &message) override;
    void recordResult(std::string_view className, core::result_code code, core::duration wait,
                      core::duration service, core::duration total) override;

    // upstream_events
    void jobCompleted(core::job_id job, const core::upstream_answer &answer) override;
    void feedUpdated(core::feed_id feed, core::byte_view payload) override;
    void feedEnded(core::feed_id feed) override;

    void receiveEnvelopes();
    void handleEnvelope(const net::datagram &envelope);
    core::duration onIdle();
    void publishReport();

    net::daemon_clock m_clock;
    core::upstream_id m_upstreamId;
    std::unique_ptr<core::slot_scheduler> m_scheduler;
    core::seeded_random m_random;
    core::agent_core m_core;
    net::event_loop m_loop;
    net::udp_socket m_envelopes;
    upstream_client m_upstream;
    std::optional<wire::envelope_codec> m_codec;
    core::configuration_pointer m_configuration;
    core::class_histograms m_histograms;
    std::atomic<core::generation_number> m_generation { 0 };
    std::atomic<bool> m_drained { false };
    std::atomic<std::uint64_t> m_badEnvelopes { 0 };
    mutable std::mutex m_mutex;
    core::agent_report m_report; // guarded by m_mutex
};

} // namespace oriolehold::agent
