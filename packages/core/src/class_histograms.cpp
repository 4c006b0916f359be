#include "oriolehold/core/class_histograms.h"

#include "internal/exponential_buckets.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <tuple>

namespace oriolehold::core {

namespace {

namespace acc = boost::accumulators;

using duration_accumulator = acc::accumulator_set<
        double,
        acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean, acc::tag::extended_p_square,
                   internal::exponential_buckets_tag>>;

constexpr std::array<double, 3> probabilities { 0.5, 0.99, 0.999 };

double upperBound(std::size_t bucket)
{
    return std::ldexp(1.0, static_cast<int>(bucket));
}

// The P-square estimate is unreliable for few samples and for discontinuous distributions, so it is
// clamped to the bucket that contains the true quantile.
double clampToBucket(double estimate, double probability, const duration_summary &summary)
{
    const auto rank =
            static_cast<std::uint64_t>(std::ceil(probability * static_cast<double>(summary.count)));
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < summary.buckets.size(); ++i) {
        below += summary.buckets[i];
        if (below < rank)
            continue;
        const double lower = i == 0 ? 0.0 : upperBound(i - 1);
        const bool isLast = i + 1 == summary.buckets.size();
        return isLast ? std::max(estimate, lower) : std::clamp(estimate, lower, upperBound(i));
    }
    return estimate;
}

duration_summary summarize(const duration_accumulator &accumulator)
{
    duration_summary summary;
    const internal::bucket_counts &counts = internal::exponentialBuckets(accumulator);
    summary.buckets.assign(counts.begin(), counts.end());
    summary.count = acc::count(accumulator);
    if (summary.count == 0)
        return summary;
    summary.sum = acc::sum(accumulator);
    summary.mean = acc::mean(accumulator);
    const auto quantiles = acc::extended_p_square(accumulator);
    summary.p50 = clampToBucket(quantiles[0], probabilities[0], summary);
    summary.p99 = clampToBucket(quantiles[1], probabilities[1], summary);
    summary.p999 = clampToBucket(quantiles[2], probabilities[2], summary);
    return summary;
}

struct class_record
{
    duration_accumulator wait { acc::extended_p_square_probabilities = probabilities };
    duration_accumulator serviceTime { acc::extended_p_square_probabilities = probabilities };
    duration_accumulator total { acc::extended_p_square_probabilities = probabilities };
    std::map<result_code, std::uint64_t> results;
};

void add(duration_accumulator &accumulator, duration value)
{
    accumulator(static_cast<double>(std::max<duration::rep>(value.count(), 0)));
}

// Microseconds as seconds, exact and without trailing zeros.
std::string toSeconds(double microseconds)
{
    char text[64];
    const int length = std::snprintf(text, sizeof text, "%.6f", microseconds / 1e6);
    std::string_view view(text, static_cast<std::size_t>(length));
    view = view.substr(0, view.find_last_not_of('0') + 1);
    if (view.ends_with('.'))
        view.remove_suffix(1);
    return std::string(view);
}

std::string escapeLabel(std::string_view value)
{
    std::string result;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            result += '\\';
        result += c == '\n' ? std::string_view("\\n") : std::string_view(&c, 1);
    }
    return result;
}

void append(std::string &text, std::initializer_list<std::string_view> parts)
{
    for (const std::string_view part : parts)
        text += part;
}

std::string labels(const class_summary &summary)
{
    std::string text;
    append(text,
           { "tenant=\"", escapeLabel(summary.tenant), "\",class=\"",
             escapeLabel(summary.className), "\",service=\"", escapeLabel(summary.service), "\"" });
    return text;
}

void appendHeader(std::string &text, std::string_view name, std::string_view help,
                  std::string_view type)
{
    append(text, { "# HELP ", name, " ", help, "\n# TYPE ", name, " ", type, "\n" });
}

void appendHistogram(std::string &text, std::string_view name, std::string_view labelText,
                     const duration_summary &summary)
{
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < summary.buckets.size(); ++i) {
        cumulative += summary.buckets[i];
        const bool isLast = i + 1 == summary.buckets.size();
        append(text,
               { name, "_bucket{", labelText, ",le=\"",
                 isLast ? std::string("+Inf") : toSeconds(upperBound(i)), "\"} ",
                 std::to_string(cumulative), "\n" });
    }
    append(text, { name, "_sum{", labelText, "} ", toSeconds(summary.sum), "\n" });
    append(text, { name, "_count{", labelText, "} ", std::to_string(summary.count), "\n" });
}

struct histogram_family
{
    const char *name;
    const char *help;
    duration_summary class_summary::*member;
};

constexpr histogram_family families[] = {
    { "oriolehold_wait_seconds", "Time until a job got a slot.", &class_summary::wait },
    { "oriolehold_service_seconds", "Time on a slot.", &class_summary::serviceTime },
    { "oriolehold_total_seconds", "Time from arrival to answer.", &class_summary::total },
};

} // namespace

class class_histograms::implementation
{
public:
    using key = std::tuple<std::string, std::string, std::string>; // tenant, service, class
    using key_view = std::tuple<std::string_view, std::string_view, std::string_view>;

    // Allows lookup by key_view, so that record() copies no names.
    struct key_less
    {
        using is_transparent = void;
        bool operator()(const key_view &left, const key_view &right) const { return left < right; }
    };

    std::map<key, class_record, key_less> records;
};

class_histograms::class_histograms() : m_implementation(std::make_unique<implementation>()) { }

class_histograms::~class_histograms() = default;

void class_histograms::record(const request_result &result)
{
    const std::lock_guard lock(m_mutex);
    auto &records = m_implementation->records;
    const implementation::key_view key(result.tenant, result.service, result.className);
    auto found = records.find(key);
    if (found == records.end())
        found = records.try_emplace(implementation::key(key)).first;

    class_record &target = found->second;
    ++target.results[result.code];
    add(target.wait, result.wait);
    add(target.total, result.total);
    if (info(result.code).outcome != outcome::notRun)
        add(target.serviceTime, result.serviceTime);
}

std::vector<class_summary> class_histograms::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<class_summary> summaries;
    summaries.reserve(m_implementation->records.size());
    for (const auto &[key, record] : m_implementation->records) {
        const auto &[tenant, service, className] = key;
        summaries.push_back({ tenant, service, className, summarize(record.wait),
                              summarize(record.serviceTime), summarize(record.total),
                              record.results });
    }
    return summaries;
}

std::string renderPrometheus(std::span<const class_summary> summaries)
{
    std::string text;
    for (const histogram_family &family : families) {
        appendHeader(text, family.name, family.help, "histogram");
        for (const class_summary &summary : summaries)
            appendHistogram(text, family.name, labels(summary), summary.*family.member);
    }
    const std::string_view counter = "oriolehold_requests_total";
    appendHeader(text, counter, "Requests by result code.", "counter");
    for (const class_summary &summary : summaries) {
        for (const auto &[code, count] : summary.results)
            append(text,
                   { counter, "{", labels(summary), ",code=\"", info(code).name, "\"} ",
                     std::to_string(count), "\n" });
    }
    return text;
}

} // namespace oriolehold::core
