#include "oriolehold/core/service_time_estimator.h"

#include <algorithm>

namespace oriolehold::core {

namespace {

constexpr double smoothing = 0.1;      // weight of the newest sample after the first samples
constexpr std::size_t maxPaths = 4096; // further paths use the mean of their class
constexpr duration defaultServiceTime = std::chrono::milliseconds { 10 };

// Samples are capped at this many times the mean after establishedCount samples. Without a cap, one
// job of 100 times the mean raises the mean tenfold, and the next 25 jobs are predicted as long.
constexpr double outlierFactor = 4.0;
constexpr std::uint64_t establishedCount = 10;

duration toDuration(double microseconds)
{
    return duration { static_cast<duration::rep>(microseconds) };
}

} // namespace

void service_time_estimator::running_mean::add(duration value)
{
    ++count;
    // Arithmetic mean of the first samples, then exponential smoothing.
    const double weight = std::max(smoothing, 1.0 / static_cast<double>(count));
    double sample = static_cast<double>(value.count());
    if (count > establishedCount)
        sample = std::min(sample, outlierFactor * std::max(microseconds, 1.0));
    microseconds += weight * (sample - microseconds);
}

void service_time_estimator::record(std::string_view className, std::string_view path,
                                    duration service)
{
    m_all.add(service);
    m_byClass[std::string(className)].add(service);
    const auto known = m_byPath.find(path);
    if (known != m_byPath.end())
        known->second.add(service);
    else if (m_byPath.size() < maxPaths)
        m_byPath[std::string(path)].add(service);
}

duration service_time_estimator::predict(std::string_view className, std::string_view path) const
{
    const auto byPath = m_byPath.find(path);
    if (byPath != m_byPath.end())
        return toDuration(byPath->second.microseconds);
    const auto byClass = m_byClass.find(className);
    if (byClass != m_byClass.end())
        return toDuration(byClass->second.microseconds);
    return m_all.count > 0 ? mean() : defaultServiceTime;
}

duration service_time_estimator::mean() const
{
    return toDuration(m_all.microseconds);
}

} // namespace oriolehold::core
