#pragma once

#include "oriolehold/flow/flow_observer.h"

// Writes the decisions of the flow path as log events.

namespace oriolehold::daemon {

class decision_log final : public flow::entry_observer
{
public:
    void decided(const flow::flow_decision &decision) override;
    void changed(const flow::directory_change &change) override;
    void routesChanged(const flow::flow_configuration &configuration) override;
};

} // namespace oriolehold::daemon
