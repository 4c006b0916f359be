#pragma once

#include "oriolehold/core/types.h"

// Classifies jobs as short or long by their predicted service times.

namespace oriolehold::core {

// Tracks the lower quartile of the predicted lengths. A job is long if its prediction exceeds
// eight times that quartile, so a service whose jobs all take equally long has no long jobs.
class job_length_classifier
{
public:
    // Adds the predicted length of an arriving job. A length of 0 (unknown) is ignored.
    void observe(duration expectedService);
    bool isLong(duration expectedService) const;
    // Lower quartile of the predicted lengths; 10 ms before the first observation.
    duration lowerQuartile() const { return m_lowerQuartile; }

private:
    double m_log2Quartile = 0.0; // of microseconds
    std::uint64_t m_count = 0;
    duration m_lowerQuartile = std::chrono::milliseconds { 10 };
};

} // namespace oriolehold::core
