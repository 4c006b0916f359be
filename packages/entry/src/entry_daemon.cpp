#include "oriolehold/entry/entry_daemon.h"

#include "oriolehold/core/balancing_policy_factory.h"
#include "oriolehold/runtime/log_events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace oriolehold::entry {

namespace {

// A draining entry instance stops after this time without packets. Agents deliver through other
// entry instances after one second without a packet from this one.
constexpr core::duration drainIdleTime = std::chrono::seconds { 3 };

std::uint64_t seedOf(core::entry_id id)
{
    return core::toInteger(id);
}

} // namespace

entry_daemon::entry_daemon(const runtime::entry_settings &settings)
    : m_settings(settings), m_watch(settings.platform, settings.peers, seedOf(settings.id),
                                    [this](const core::configuration_pointer &configuration) {
                                        for (const auto &worker : m_workers)
                                            worker->configure(configuration);
                                    }),
      m_admin(settings.admin, *this)
{
    for (unsigned i = 0; i < settings.trafficThreads; ++i)
        m_workers.push_back(std::make_unique<traffic_worker>(settings));
}

entry_daemon::~entry_daemon()
{
    stop();
}

void entry_daemon::start()
{
    for (const auto &worker : m_workers)
        m_trafficThreads.emplace_back([&worker = *worker] { worker.run(); });
    m_watch.start();
    m_admin.start();
}

void entry_daemon::drain()
{
    if (m_draining.exchange(true))
        return;
    runtime::log(runtime::log_event::drainStarted, { { "program", "oriolehold-entry" } });
    for (const auto &worker : m_workers)
        worker->drain();
}

bool entry_daemon::drained() const
{
    return m_draining && std::ranges::all_of(m_workers, [](const auto &worker) {
               return worker->idleTime() > drainIdleTime;
           });
}

void entry_daemon::stop()
{
    if (m_trafficThreads.empty())
        return;
    m_watch.stop();
    m_admin.stop();
    for (const auto &worker : m_workers)
        worker->stop();
    for (std::thread &thread : m_trafficThreads)
        thread.join();
    m_trafficThreads.clear();
}

bool entry_daemon::ready() const
{
    return !m_draining && lowestGeneration() > 0;
}

std::uint64_t entry_daemon::sum(std::uint64_t (*value)(const traffic_counters &)) const
{
    return std::accumulate(m_workers.begin(), m_workers.end(), std::uint64_t { 0 },
                           [value](std::uint64_t total, const auto &worker) {
                               return total + value(worker->counters());
                           });
}

core::generation_number entry_daemon::lowestGeneration() const
{
    const auto lowest = std::ranges::min_element(
            m_workers, {}, [](const auto &worker) { return worker->generation(); });
    return (*lowest)->generation();
}

std::string entry_daemon::metrics() const
{
    std::string text;
    const auto add = [&text](std::string_view name, std::uint64_t value) {
        text.append("oriolehold_entry_").append(name).append(" ");
        text.append(std::to_string(value)).append("\n");
    };
    add("packets_received_total",
        sum([](const auto &counters) { return counters.received.load(); }));
    add("packets_forwarded_total",
        sum([](const auto &counters) { return counters.forwarded.load(); }));
    add("packets_delivered_total",
        sum([](const auto &counters) { return counters.delivered.load(); }));
    add("probes_total", sum([](const auto &counters) { return counters.probes.load(); }));
    add("send_failures_total",
        sum([](const auto &counters) { return counters.sendFailures.load(); }));
    add("configuration_generation", lowestGeneration());
    for (const core::result_code_info &item : core::resultCodes()) {
        std::uint64_t total = 0;
        for (const auto &worker : m_workers)
            total += worker->counters().byCode[core::toInteger(item.code)];
        add("results_total{code=\"" + std::to_string(core::toInteger(item.code)) + "\",name=\""
                    + std::string(item.name) + "\"}",
            total);
    }
    return text;
}

std::string entry_daemon::state() const
{
    const nlohmann::json state {
        { "role", "entry" },
        { "id", core::toInteger(m_settings.id) },
        { "zone", m_settings.zone },
        { "generation", lowestGeneration() },
        { "draining", m_draining.load() },
    };
    return state.dump();
}

std::string entry_daemon::document() const
{
    return m_watch.document();
}

bool entry_daemon::drain(std::string_view key)
{
    if (!admin::matchesKey(m_settings.drainKey, key))
        return false;
    drain();
    return true;
}

std::optional<runtime::settings_error> checkStrategyNames(const runtime::entry_settings &settings)
{
    if (core::makeBalancingPolicy(settings.policy) != nullptr)
        return std::nullopt;
    return runtime::settings_error { "policy", "the name of a balancing policy" };
}

} // namespace oriolehold::entry
