#pragma once

#include "oriolehold/core/types.h"

// Separation of short and long jobs by their predicted service times.

namespace oriolehold::core {

// Follows the lower quartile of the predicted lengths. A job is long when its prediction exceeds
// eight times that quartile, so a service in which all jobs take equally long has no long jobs.
class job_length_classifier
{
public:
    // Learns the predicted length of an arriving job. Lengths of 0 (unknown) are ignored.
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
