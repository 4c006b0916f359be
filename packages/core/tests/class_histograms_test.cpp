#include "oriolehold/core/class_histograms.h"

#include <CppUTest/TestHarness.h>

#include <numeric>
#include <string>
#include <thread>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(class_histograms)
{
    class_histograms histograms;

    void record(std::string_view className, duration wait, result_code code = result_code::done)
    {
        histograms.record({ "manao", "orders", className, code, wait, 10ms, wait + 10ms });
    }

    bool rendered(std::string_view line) const
    {
        const std::string text = '\n' + renderPrometheus(histograms.snapshot());
        return text.find('\n' + std::string(line) + '\n') != std::string::npos;
    }
};

TEST(class_histograms, ClassesAreRecordedSeparately)
{
    record("order", 1ms);
    record("feed", 2ms);
    record("order", 3ms);

    const auto summaries = histograms.snapshot();
    CHECK_EQUAL(2U, summaries.size());
    CHECK_EQUAL(1U, summaries[0].wait.count);
    DOUBLES_EQUAL(2000.0, summaries[1].wait.mean, 1e-9);
    DOUBLES_EQUAL(4000.0, summaries[1].wait.sum, 1e-9);
}

// Guards against counting samples at a bound in the next bucket: Prometheus bounds are inclusive.
TEST(class_histograms, BucketBoundsAreInclusive)
{
    for (const duration wait : { 0us, 1us, 2us, 3us, 4us, 5us })
        record("order", wait);

    const auto buckets = histograms.snapshot()[0].wait.buckets;
    CHECK_EQUAL(2U, buckets[0]);
    CHECK_EQUAL(1U, buckets[1]);
    CHECK_EQUAL(2U, buckets[2]);
    CHECK_EQUAL(1U, buckets[3]);
}

TEST(class_histograms, QuantilesApproximateTheDistribution)
{
    seeded_random random(1);
    for (int i = 0; i < 100'000; ++i)
        record("order", duration { random.below(1'000'000) });

    const duration_summary wait = histograms.snapshot()[0].wait;
    DOUBLES_EQUAL(500'000, wait.p50, 10'000);
    DOUBLES_EQUAL(990'000, wait.p99, 10'000);
    DOUBLES_EQUAL(999'000, wait.p999, 10'000);
}

// Guards against returning the P-square estimate unclamped: it is undefined for fewer samples than
// markers.
TEST(class_histograms, QuantilesOfFewSamplesAreInTheBucketOfTheSamples)
{
    record("order", 1s);
    const duration_summary wait = histograms.snapshot()[0].wait;
    CHECK_TRUE(wait.p50 >= 524'288 && wait.p50 <= 1'048'576);
    CHECK_TRUE(wait.p999 >= 524'288 && wait.p999 <= 1'048'576);
}

TEST(class_histograms, RequestThatWasNotRunHasNoServiceTime)
{
    record("order", 1ms, result_code::queueFull);
    const auto summaries = histograms.snapshot();
    CHECK_EQUAL(0U, summaries[0].serviceTime.count);
    CHECK_EQUAL(1U, summaries[0].results.at(result_code::queueFull));
}

TEST(class_histograms, RendersCumulativeBucketsWithLabels)
{
    record("order", 1ms);
    record("order", 3s);
    const std::string labels = R"(tenant="manao",class="order",service="orders")";
    CHECK_TRUE(rendered("# TYPE oriolehold_wait_seconds histogram"));
    CHECK_TRUE(rendered("oriolehold_wait_seconds_bucket{" + labels + ",le=\"0.000512\"} 0"));
    CHECK_TRUE(rendered("oriolehold_wait_seconds_bucket{" + labels + ",le=\"0.001024\"} 1"));
    CHECK_TRUE(rendered("oriolehold_wait_seconds_bucket{" + labels + ",le=\"+Inf\"} 2"));
    CHECK_TRUE(rendered("oriolehold_wait_seconds_sum{" + labels + "} 3.001"));
    CHECK_TRUE(rendered("oriolehold_wait_seconds_count{" + labels + "} 2"));
    CHECK_TRUE(rendered("oriolehold_requests_total{" + labels + ",code=\"done\"} 2"));
}

TEST(class_histograms, LabelValuesAreEscaped)
{
    record("a\"b\\c\nd", 1ms);
    CHECK_TRUE(rendered(R"(oriolehold_wait_seconds_count{tenant="manao",class="a\"b\\c\nd",)"
                        R"(service="orders"} 1)"));
}

// Guards against a data race between the traffic thread and the admin thread, which the thread
// sanitizer build detects.
TEST(class_histograms, SnapshotIsConsistentWhileAnotherThreadRecords)
{
    std::thread writer([this] {
        for (int i = 0; i < 20'000; ++i)
            record("order", 1ms);
    });
    for (int i = 0; i < 100; ++i) {
        for (const class_summary &summary : histograms.snapshot()) {
            const auto &buckets = summary.wait.buckets;
            CHECK_EQUAL(summary.wait.count,
                        std::accumulate(buckets.begin(), buckets.end(), std::uint64_t { 0 }));
        }
    }
    writer.join();
    CHECK_EQUAL(20'000U, histograms.snapshot()[0].wait.count);
}
