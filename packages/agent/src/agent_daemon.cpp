#include "oriolehold/agent/agent_daemon.h"

#include "oriolehold/core/slot_scheduler_factory.h"
#include "oriolehold/runtime/log_events.h"

#include <nlohmann/json.hpp>

namespace oriolehold::agent {

namespace {

std::string_view toText(core::agent_state state)
{
    switch (state) {
    case core::agent_state::warming:
        return "warming";
    case core::agent_state::live:
        return "live";
    case core::agent_state::draining:
        return "draining";
    }
    return "unknown";
}

// Agents and entry instances number their identifiers separately; the offset gives them different
// seeds.
std::uint64_t seedOf(core::upstream_id id)
{
    return 0x10000 + std::uint64_t { core::toInteger(id) };
}

} // namespace

agent_daemon::agent_daemon(const runtime::agent_settings &settings)
    : m_settings(settings), m_worker(settings),
      m_watch(settings.platform, settings.peers, seedOf(settings.id),
              [this](core::configuration_pointer configuration) {
                  m_worker.configure(std::move(configuration));
              }),
      m_admin(settings.admin, *this)
{ }

agent_daemon::~agent_daemon()
{
    stop();
}

void agent_daemon::start()
{
    m_trafficThread = std::thread([this] { m_worker.run(); });
    m_watch.start();
    m_admin.start();
}

void agent_daemon::drain()
{
    if (m_draining.exchange(true))
        return;
    runtime::log(runtime::log_event::drainStarted, { { "program", "oriolehold-agent" } });
    m_worker.drain();
}

bool agent_daemon::drained() const
{
    return m_draining && m_worker.drained();
}

std::string agent_daemon::remainingWork() const
{
    const core::agent_report report = m_worker.report();
    return std::to_string(report.running) + " running, " + std::to_string(report.queued)
            + " queued, " + std::to_string(report.connections) + " feeds and downloads";
}

void agent_daemon::stop()
{
    if (!m_trafficThread.joinable())
        return;
    m_watch.stop();
    m_admin.stop();
    m_worker.stop();
    m_trafficThread.join();
}

bool agent_daemon::ready() const
{
    return !m_draining && m_worker.generation() > 0;
}

std::string agent_daemon::metrics() const
{
    const core::agent_report report = m_worker.report();
    std::string text;
    const auto add = [&text](std::string_view name, std::uint64_t value) {
        text.append("oriolehold_agent_").append(name).append(" ");
        text.append(std::to_string(value)).append("\n");
    };
    add("jobs_running", report.running);
    add("jobs_queued", report.queued);
    add("slots", report.slots);
    add("connections", report.connections);
    add("configuration_generation", report.generation);
    add("bad_envelopes_total", m_worker.badEnvelopes());
    return text + m_worker.histogramText();
}

std::string agent_daemon::state() const
{
    const core::agent_report report = m_worker.report();
    const nlohmann::json state {
        { "role", "agent" },
        { "id", core::toInteger(m_settings.id) },
        { "zone", m_settings.zone },
        { "incarnation", core::toInteger(report.incarnation) },
        { "state", toText(report.state) },
        { "generation", report.generation },
        { "running", report.running },
        { "queued", report.queued },
        { "slots", report.slots },
        { "connections", report.connections },
        { "expected_wait_us", report.expectedWait.count() },
        { "mean_service_time_us", report.meanServiceTime.count() },
    };
    return state.dump();
}

std::string agent_daemon::document() const
{
    return m_watch.document();
}

bool agent_daemon::drain(std::string_view key)
{
    if (!admin::matchesKey(m_settings.drainKey, key))
        return false;
    drain();
    return true;
}

std::optional<runtime::settings_error> checkStrategyNames(const runtime::agent_settings &settings)
{
    if (core::makeScheduler(settings.scheduler) != nullptr)
        return std::nullopt;
    return runtime::settings_error { "scheduler", "the name of a scheduler" };
}

} // namespace oriolehold::agent
