#include "oriolehold/core/retry_budget.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(retry_budget)
{
    retry_budget budget;

    int acquireAll(time_point now)
    {
        int count = 0;
        while (budget.tryAcquire(now))
            ++count;
        return count;
    }
};

// Guards against retries that multiply the load when every request fails.
TEST(retry_budget, RetriesAreAShareOfTheRequests)
{
    acquireAll({});
    for (int i = 0; i < 505; ++i)
        budget.recordRequest({});
    CHECK_EQUAL(50, acquireAll({}));
}

TEST(retry_budget, MinimumRateAllowsRetriesWithoutTraffic)
{
    acquireAll({});
    CHECK_EQUAL(3, acquireAll(time_point { 3500ms }));
}

// Guards against a burst of retries after a long time without requests.
TEST(retry_budget, SavedRetriesAreBounded)
{
    budget.recordRequest({});
    CHECK_EQUAL(100, acquireAll(time_point { 24h }));
}

TEST(retry_budget, ClockThatRunsBackwardsAddsNoRetries)
{
    budget.recordRequest(time_point { 10s });
    acquireAll(time_point { 10s });
    CHECK_EQUAL(0, acquireAll(time_point { 5s }));
    CHECK_EQUAL(0, acquireAll(time_point { 10s }));
}
