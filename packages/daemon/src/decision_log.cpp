#include "oriolehold/daemon/decision_log.h"

#include "oriolehold/runtime/log_events.h"

namespace oriolehold::daemon {

namespace {

using flow::decision_kind;
using runtime::log_event;

log_event eventOf(decision_kind kind)
{
    switch (kind) {
    case decision_kind::placed:
        return log_event::flowPlaced;
    case decision_kind::replaced:
        return log_event::flowReplaced;
    case decision_kind::searchStarted:
        return log_event::flowSearchStarted;
    case decision_kind::ownerFound:
        return log_event::flowOwnerFound;
    case decision_kind::ownerChanged:
        return log_event::flowOwnerChanged;
    case decision_kind::searchEnded:
        return log_event::flowSearchEnded;
    case decision_kind::reset:
        return log_event::flowReset;
    case decision_kind::dropped:
        return log_event::flowDropped;
    case decision_kind::flowOpened:
        return log_event::flowOpened;
    case decision_kind::openingRefused:
        return log_event::flowOpeningRefused;
    case decision_kind::flowAbsent:
        return log_event::flowAbsent;
    }
    return log_event::internalError;
}

log_event eventOf(flow::directory_change::kind kind)
{
    switch (kind) {
    case flow::directory_change::kind::added:
        return log_event::upstreamAdded;
    case flow::directory_change::kind::removed:
        return log_event::upstreamRemoved;
    case flow::directory_change::kind::phaseChanged:
        return log_event::upstreamPhaseChanged;
    case flow::directory_change::kind::restarted:
        return log_event::upstreamRestarted;
    }
    return log_event::internalError;
}

// Empty for 0.
std::string addressText(std::uint32_t machine)
{
    if (machine == 0)
        return {};
    const std::string text = base::toString({ machine, 0 });
    return text.substr(0, text.find(':'));
}

std::int64_t milliseconds(base::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

void decision_log::requestAnswered(const flow::request_times &times)
{
    const std::string name = "priority-" + std::to_string(times.priority);
    m_histograms.record({ .tenant = {},
                          .service = m_service,
                          .className = name,
                          .wait = times.held,
                          .serviceTime = times.service,
                          .total = times.held + times.service });
}

std::string decision_log::histograms() const
{
    return core::renderPrometheus(m_histograms.snapshot());
}

void decision_log::decisionMade(const flow::flow_decision &decision)
{
    if (decision.kind == decision_kind::ownerFound)
        m_histograms.record({ .tenant = {},
                              .service = m_service,
                              .className = "search",
                              .total = decision.elapsed });
    const std::string key = toString(decision.flow);
    const std::string machine = addressText(decision.machine);
    const std::string formerMachine = addressText(decision.formerMachine);
    runtime::log(eventOf(decision.kind),
                 { { "flow", key },
                   { "machine", machine },
                   { "former", formerMachine },
                   { "upstream", decision.upstream },
                   { "reason", decision.reason },
                   { "version", decision.configurationVersion },
                   { "view_age_ms", milliseconds(decision.viewAge) },
                   { "report_age_ms", milliseconds(decision.reportAge) },
                   { "elapsed_us", decision.elapsed.count() },
                   { "running", decision.running },
                   { "candidates", decision.candidates },
                   { "probes", decision.probes },
                   { "unprobed", decision.unprobed },
                   { "unanswered", decision.unanswered },
                   { "expected_wait_ms", milliseconds(decision.expectedWait) },
                   { "objective_ms", milliseconds(decision.objective) } });
}

void decision_log::directoryChanged(const flow::directory_change &change)
{
    runtime::log(eventOf(change.what),
                 { { "upstream", change.id }, { "address", base::toString(change.address) } });
}

void decision_log::routesChanged(const flow::flow_configuration &configuration)
{
    runtime::log(
            log_event::routesInForce,
            { { "version", configuration.version }, { "routes", configuration.routes.size() } });
}

void decision_log::evacuationChanged(std::span<const std::string> zones)
{
    std::string names;
    for (const std::string &zone : zones)
        names.append(names.empty() ? "" : ",").append(zone);
    runtime::log(log_event::evacuationChanged, { { "zones", names } });
}

void decision_log::paceChanged(const flow::pace_change &change)
{
    runtime::log(log_event::upstreamLimitChanged,
                 { { "limit", change.limit },
                   { "running", change.running },
                   { "reason", change.reason } });
}

void decision_log::storeRestored(const flow::store_revision &former,
                                 const flow::store_revision &present)
{
    runtime::log(log_event::storeRestored,
                 { { "former_era", former.era },
                   { "former_revision", former.number },
                   { "era", present.era },
                   { "revision", present.number } });
}

} // namespace oriolehold::daemon
