#pragma once

#include "oriolehold/admin/admin_server.h"
#include "oriolehold/agent/traffic_worker.h"
#include "oriolehold/daemon/managed_process.h"
#include "oriolehold/runtime/configuration_watch.h"
#include "oriolehold/runtime/settings.h"

#include <atomic>
#include <optional>
#include <thread>

// The agent daemon, which runs next to one upstream: one traffic thread, one control thread and the
// administration server.

namespace oriolehold::agent {

class agent_daemon final : public daemon::managed_process, private admin::status_source
{
public:
    // Opens all sockets; throws std::system_error when an address cannot be bound.
    explicit agent_daemon(const runtime::agent_settings &settings);
    ~agent_daemon() override;

    void start() override;
    void drain() override;
    bool drained() const override;
    std::string remainingWork() const override;
    void stop() override;

private:
    bool ready() const override;
    std::string metrics() const override;
    std::string state() const override;
    std::string document() const override;
    bool drainEnabled() const override { return !m_settings.drainKey.empty(); }
    bool drain(std::string_view key) override;

    runtime::agent_settings m_settings;
    traffic_worker m_worker;
    std::thread m_trafficThread;
    runtime::configuration_watch m_watch;
    admin::admin_server m_admin;
    std::atomic<bool> m_draining { false };
};

// Returns an error when the settings name an unknown scheduler.
std::optional<runtime::settings_error> checkStrategyNames(const runtime::agent_settings &settings);

} // namespace oriolehold::agent
