#pragma once

#include "oriolehold/admin/admin_server.h"
#include "oriolehold/daemon/managed_process.h"
#include "oriolehold/entry/traffic_worker.h"
#include "oriolehold/runtime/configuration_watch.h"
#include "oriolehold/runtime/settings.h"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

// The entry daemon: one or more traffic threads, one control thread and the administration server.

namespace oriolehold::entry {

class entry_daemon final : public daemon::managed_process, private admin::status_source
{
public:
    // Opens all sockets; throws std::system_error when an address cannot be bound.
    explicit entry_daemon(const runtime::entry_settings &settings);
    ~entry_daemon() override;

    void start() override;
    void drain() override;
    bool drained() const override;
    void stop() override;

private:
    bool ready() const override;
    std::string metrics() const override;
    std::string state() const override;
    std::string document() const override;
    bool drainEnabled() const override { return !m_settings.drainKey.empty(); }
    bool drain(std::string_view key) override;

    std::uint64_t sum(std::uint64_t (*value)(const traffic_counters &)) const;
    core::generation_number lowestGeneration() const;

    runtime::entry_settings m_settings;
    std::vector<std::unique_ptr<traffic_worker>> m_workers; // one per traffic thread
    std::vector<std::thread> m_trafficThreads;
    runtime::configuration_watch m_watch;
    admin::admin_server m_admin;
    std::atomic<bool> m_draining { false };
};

// Returns an error when the settings name an unknown balancing policy.
std::optional<runtime::settings_error> checkStrategyNames(const runtime::entry_settings &settings);

} // namespace oriolehold::entry
