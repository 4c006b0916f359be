#include "oriolehold/flow/opening_limiter.h"

#include "test_values.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;

TEST_GROUP(opening_limiter)
{
    // At the rate of 20: at most 35 in a second.
    opening_limiter limiter { opening_bounds { 1.5, 5 } };
    std::vector<base::time_point> passed;

    // Lets as many packets pass as may pass, and as were offered.
    int offer(int count, std::int64_t at, opening_limiter &item)
    {
        int result = 0;
        for (; result < count && item.mayPass(atMilliseconds(at)); ++result) {
            item.pass(atMilliseconds(at));
            passed.push_back(atMilliseconds(at));
        }
        item.flushed(atMilliseconds(at));
        return result;
    }
    int offer(int count, std::int64_t at)
    {
        return offer(count, at, limiter);
    }
    void notify(std::chrono::milliseconds left, double rate, std::int64_t at)
    {
        limiter.update(rate, atMilliseconds(at) + left, atMilliseconds(at));
    }
};

// Guards against an agent that floods a cold upstream before it is told that it is cold.
TEST(opening_limiter, UnknownStateCountsAsCold)
{
    CHECK_TRUE(limiter.isLimited(atMilliseconds(0)));
    CHECK_EQUAL(4, offer(100, 0));
    CHECK_EQUAL(0, offer(100, 900));
    CHECK_EQUAL(4, limiter.room(200ms, atMilliseconds(900)));
    CHECK_EQUAL(4, offer(100, 1050));
}

// Guards against a window that begins anew each second: two of them would pass within one second.
TEST(opening_limiter, UnknownStateIsLimitedInAnySecond)
{
    offer(1, 0);
    for (const std::int64_t at : { 1040, 1060 })
        offer(10, at);
    CHECK_TRUE(largestSecond(passed) <= 5);
}

TEST(opening_limiter, NothingIsLimitedWithoutBoundsOrRateOrAfterTheWarmUp)
{
    opening_limiter unbounded { std::nullopt };
    CHECK_EQUAL(1000, offer(1000, 0, unbounded));
    CHECK_EQUAL(capacity_report::unlimited, unbounded.room(200ms, atMilliseconds(0)));

    notify(5s, 0, 0);
    CHECK_EQUAL(1000, offer(1000, 0));
    notify(500ms, 20, 2000);
    CHECK_TRUE(limiter.room(200ms, atMilliseconds(2000)) < 20);
    CHECK_EQUAL(1000, offer(1000, 2500));
}

// Guards against more packets than the bound in any second, at rates from below one a second, and
// against an upstream that is left idle by the limit.
TEST(opening_limiter, PublishedRatePassesAndNoSecondExceedsTheBound)
{
    for (const double rate : { 0.4, 1.0, 7.5, 20.0, 300.0 }) {
        limiter = opening_limiter { opening_bounds { 1.5, 5 } };
        passed.clear();
        notify(60s, rate, 0);
        for (std::int64_t at = 0; at < 50'000; at += 3)
            offer(at / 1000 % 10 < 3 ? 0 : 10, at); // pauses of three seconds

        CHECK_TRUE(static_cast<double>(largestSecond(passed)) <= rate * 1.5 + 5);
        CHECK_TRUE(static_cast<double>(passed.size()) >= rate * 35 * 0.9);
        CHECK_TRUE(static_cast<double>(passed.size()) <= rate * 50 + 6);
    }
}

// A killed agent leaves up to a full second of packets that its successor knows nothing of.
TEST(opening_limiter, RestartedAgentStaysWithinTheBoundOfItsPredecessor)
{
    notify(60s, 20, 0);
    for (std::int64_t at = 0; at < 5000; at += 3)
        offer(10, at);
    for (std::int64_t restart = 5000; restart <= 6500; restart += 1500) {
        limiter = opening_limiter { opening_bounds { 1.5, 5 } };
        for (std::int64_t at = restart; at < restart + 1500; at += 3) {
            if (at >= restart + 30)
                notify(55s, 20, at);
            offer(10, at);
        }
    }
    CHECK_TRUE(largestSecond(passed) <= 35);
}

// Guards against packets that were counted before the process was stopped and left after it.
TEST(opening_limiter, PacketsCountWhenTheyLeave)
{
    notify(60s, 20, 0);
    offer(0, 0);
    int count = 0;
    for (; limiter.mayPass(atMilliseconds(2000)); ++count)
        limiter.pass(atMilliseconds(2000));
    limiter.flushed(atMilliseconds(5000));
    for (std::int64_t at = 5000; at < 6000; at += 10)
        count += offer(10, at);
    CHECK_TRUE(count <= 35);
}

// The upstream restarts seconds before the first notice of its new start.
TEST(opening_limiter, SuspectedRestartCountsAsCold)
{
    notify(0s, 20, 0);
    CHECK_FALSE(limiter.isLimited(atMilliseconds(10)));
    limiter.suspectRestart(atMilliseconds(900), atMilliseconds(1000));
    CHECK_TRUE(limiter.isLimited(atMilliseconds(1000)));
    CHECK_FALSE(limiter.isLimited(atMilliseconds(6000)));
    limiter.suspectRestart(atMilliseconds(6900), atMilliseconds(7000));
    limiter.confirmRunning(atMilliseconds(6950));
    CHECK_TRUE(limiter.isLimited(atMilliseconds(7000)));
    limiter.confirmRunning(atMilliseconds(6800));
    CHECK_FALSE(limiter.isLimited(atMilliseconds(7000)));
}
