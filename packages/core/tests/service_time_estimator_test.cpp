#include "oriolehold/core/service_time_estimator.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(service_time_estimator)
{
    service_time_estimator estimator;
};

TEST(service_time_estimator, PathIsPreferredOverClassAndClassOverAll)
{
    estimator.record("guide", "guides/small", 10ms);
    estimator.record("guide", "guides/large", 1s);
    estimator.record("order", "orders", 20ms);

    CHECK_TRUE(estimator.predict("guide", "guides/large") == 1s);
    CHECK_TRUE(estimator.predict("guide", "guides/new") == 505ms);
    CHECK_TRUE(estimator.predict("other", "other") == estimator.mean());
}

TEST(service_time_estimator, HasSamplesOfClassesOfFinishedJobs)
{
    estimator.record("guide", "guides/small", 10ms);

    CHECK_TRUE(estimator.hasSamples("guide"));
    CHECK_FALSE(estimator.hasSamples("order"));
}

TEST(service_time_estimator, AdaptsToAChangeOfSpeed)
{
    for (int i = 0; i < 100; ++i)
        estimator.record("order", "orders", 10ms);
    for (int i = 0; i < 50; ++i)
        estimator.record("order", "orders", 40ms);

    CHECK_TRUE(estimator.predict("order", "orders") > 39ms);
}

TEST(service_time_estimator, NumberOfPathsIsBounded)
{
    for (int i = 0; i < 10'000; ++i)
        estimator.record("guide", "guides/" + std::to_string(i), 10ms);
    estimator.record("guide", "guides/9999", 500ms);

    // The path is not tracked, so the mean of the class is returned.
    CHECK_TRUE(estimator.predict("guide", "guides/9999") < 100ms);
}

// Guards against a single straggler after which the next jobs of its path are predicted as long.
TEST(service_time_estimator, StragglerBarelyChangesAnEstablishedMean)
{
    for (int i = 0; i < 100; ++i)
        estimator.record("order", "orders", 10ms);
    estimator.record("order", "orders", 1s);

    CHECK_TRUE(estimator.predict("order", "orders") < 15ms);
}
