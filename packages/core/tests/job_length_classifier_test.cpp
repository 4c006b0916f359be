#include "oriolehold/core/job_length_classifier.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(job_length_classifier)
{
    job_length_classifier lengths;

    void observe(int count, duration length)
    {
        for (int i = 0; i < count; ++i)
            lengths.observe(length);
    }
};

TEST(job_length_classifier, NoJobIsLongBeforeTheFirstObservation)
{
    CHECK_FALSE(lengths.isLong(1h));
}

TEST(job_length_classifier, JobFarAboveTheTypicalLengthIsLong)
{
    observe(100, 10ms);
    CHECK_TRUE(lengths.isLong(100ms));
    CHECK_FALSE(lengths.isLong(50ms));
}

// Guards against limiting long jobs in a service that has only long jobs.
TEST(job_length_classifier, TypicalLengthIsNeverLong)
{
    observe(100, 10s);
    CHECK_FALSE(lengths.isLong(10s));
}

// Guards against a typical length between the short and the long half of a mixed workload, with
// which the long half would not be classified as long.
TEST(job_length_classifier, LongHalfOfAMixedWorkloadIsLong)
{
    for (int i = 0; i < 500; ++i) {
        lengths.observe(20ms);
        lengths.observe(1s);
    }
    CHECK_TRUE(lengths.isLong(1s));
    CHECK_FALSE(lengths.isLong(20ms));
}

TEST(job_length_classifier, UnknownLengthsAreIgnored)
{
    observe(100, 10ms);
    observe(1000, 0ms);
    CHECK_TRUE(lengths.lowerQuartile() > 9ms);
}

TEST(job_length_classifier, AdaptsToAChangeOfSpeed)
{
    observe(100, 10ms);
    observe(300, 1s);
    CHECK_FALSE(lengths.isLong(1s));
}
