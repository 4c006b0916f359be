#pragma once

#include "oriolehold/core/types.h"

// Estimate of the flows that one entry assigned to an upstream and that the upstream's reports do
// not show yet.

namespace oriolehold::core::internal {

class assignment_estimate
{
public:
    void add(time_point now);
    // Drops what the report shows: all but the newest assignments, whose callers have not
    // repeated their request yet.
    void observeReport(time_point now);
    // Decays, because assigned work finishes even when no report arrives.
    double value(time_point now) const;

private:
    void advance(time_point now);

    double m_earlier = 0.0;  // older than two visibility windows
    double m_previous = 0.0; // assigned in the previous window
    double m_current = 0.0;  // assigned in the current window
    time_point m_windowStart {};
};

} // namespace oriolehold::core::internal
