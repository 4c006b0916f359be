#pragma once

#include "oriolehold/core/types.h"

// Estimates the number of flows that one entry assigned to an upstream and that the reports of the
// upstream do not include yet.

namespace oriolehold::core::internal {

class assignment_estimate
{
public:
    void add(time_point now);
    // Removes the assignments that a report includes: all except the newest, whose callers have not
    // repeated their request yet.
    void observeReport(time_point now);
    // Number of flows. Decays, because assigned work finishes even if no report arrives.
    double value(time_point now) const;

private:
    void advance(time_point now);

    double m_earlier = 0.0;  // older than two visibility windows
    double m_previous = 0.0; // assigned in the previous window
    double m_current = 0.0;  // assigned in the current window
    time_point m_windowStart {};
};

} // namespace oriolehold::core::internal
