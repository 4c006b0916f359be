#pragma once

#include "oriolehold/core/types.h"

#include <map>
#include <string>
#include <string_view>

// Predicts service times from those of finished jobs, per class and path.

namespace oriolehold::core {

class service_time_estimator
{
public:
    // Records the service time of a finished job.
    void record(std::string_view className, std::string_view path, duration service);
    // Returns the mean of the path or, without samples, of the class or of all jobs, or 10 ms.
    duration predict(std::string_view className, std::string_view path) const;
    // Whether a job of this class has finished.
    bool hasSamples(std::string_view className) const { return m_byClass.contains(className); }
    // Running mean over all jobs; 0 if none has finished yet.
    duration mean() const;

private:
    struct running_mean
    {
        double microseconds = 0.0;
        std::uint64_t count = 0;
        void add(duration value);
    };

    running_mean m_all;
    std::map<std::string, running_mean, std::less<>> m_byClass;
    std::map<std::string, running_mean, std::less<>> m_byPath; // bounded number of paths
};

} // namespace oriolehold::core
