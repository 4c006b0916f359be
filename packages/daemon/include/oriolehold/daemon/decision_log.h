#pragma once

#include "oriolehold/core/class_histograms.h"
#include "oriolehold/flow/flow_observer.h"

#include <string>

// Observer that logs the decisions of the flow path and records request and search times in
// histograms.

namespace oriolehold::daemon {

class decision_log final : public flow::flow_observer
{
public:
    // service is the service of the agent's upstream; empty in an entry instance.
    explicit decision_log(std::string service) : m_service(std::move(service)) { }

    void requestAnswered(const flow::request_times &times) override;
    void paceChanged(const flow::pace_change &change) override;
    void decisionMade(const flow::flow_decision &decision) override;
    void directoryChanged(const flow::directory_change &change) override;
    void routesChanged(const flow::flow_configuration &configuration) override;
    void evacuationChanged(std::span<const std::string> zones) override;
    void storeRestored(const flow::store_revision &former,
                       const flow::store_revision &present) override;

    // Histograms in the Prometheus text format: request times by priority in an agent, search times
    // in an entry instance. Can be called by any thread.
    std::string histograms() const;

private:
    const std::string m_service;
    core::class_histograms m_histograms;
};

} // namespace oriolehold::daemon
