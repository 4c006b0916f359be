#pragma once

#include "oriolehold/core/result_code.h"
#include "oriolehold/core/types.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

// Distributions of waiting, service and total times, and counts of results, per tenant, service and
// class.

namespace oriolehold::core {

// Summary of one distribution.
struct duration_summary
{
    // Counts of the samples in (2^(i-1), 2^i] microseconds; the first also counts smaller samples,
    // the last all larger ones.
    std::vector<std::uint64_t> buckets;
    std::uint64_t count = 0;
    double sum = 0.0;  // microseconds
    double mean = 0.0; // microseconds
    // Approximate quantiles in microseconds. Each lies in the bucket of the true quantile, so the
    // error is less than a factor of two.
    double p50 = 0.0;
    double p99 = 0.0;
    double p999 = 0.0;
};

struct class_summary
{
    std::string tenant;
    std::string service;
    std::string className;
    duration_summary wait;
    duration_summary serviceTime;
    duration_summary total;
    std::map<result_code, std::uint64_t> results;
};

// Final result of one request. The string views are not stored.
struct request_result
{
    std::string_view tenant;
    std::string_view service;
    std::string_view className;
    result_code code = result_code::done;
    duration wait {};
    duration serviceTime {};
    duration total {};
};

// Thread-safe. Memory is bounded by the number of configured classes; names must come from the
// configuration, not from packets.
class class_histograms
{
public:
    class_histograms();
    ~class_histograms();

    // The service time of a request that was not run is ignored.
    void record(const request_result &result);
    // Returns a copy, sorted by tenant, service and class.
    std::vector<class_summary> snapshot() const;

private:
    class implementation;
    mutable std::mutex m_mutex;
    std::unique_ptr<implementation> m_implementation;
};

// Renders the Prometheus text exposition format 0.0.4: the histograms oriolehold_wait_seconds,
// oriolehold_service_seconds and oriolehold_total_seconds, and the counter
// oriolehold_requests_total by result code.
std::string renderPrometheus(std::span<const class_summary> summaries);

} // namespace oriolehold::core
