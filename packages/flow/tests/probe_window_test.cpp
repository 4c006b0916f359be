#include "oriolehold/flow/probe_window.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;

TEST_GROUP(probe_window)
{
    probe_window window;
    base::time_point now { 1s };

    std::size_t sendAll()
    {
        const std::size_t count = window.room();
        for (std::size_t i = 0; i < count; ++i)
            window.sent();
        return count;
    }
    // All outstanding probes are lost.
    void loseAll()
    {
        now += probe_window::answerTimeout;
        while (window.outstanding() > 0)
            window.expired(true, now);
    }
    void answerAll()
    {
        while (window.outstanding() > 0)
            window.answered();
    }
};

TEST(probe_window, LimitsTheProbesThatWaitForAnAnswer)
{
    CHECK_EQUAL(static_cast<std::size_t>(probe_window::initialLimit), sendAll());
    CHECK_EQUAL(0, window.room());
    window.answered();
    CHECK_TRUE(window.room() > 0);
}

TEST(probe_window, GrowsWhileProbesAreAnswered)
{
    const std::size_t first = sendAll();
    answerAll();

    CHECK_EQUAL(2 * first, window.room());
}

TEST(probe_window, ShrinksOnceForProbesThatAreLostTogether)
{
    const std::size_t first = sendAll();
    loseAll();

    CHECK_EQUAL(first / 2, window.room());
}

// The smallest window must let a search go on.
TEST(probe_window, NeverShrinksBelowTheProbesOfOneSearch)
{
    for (int i = 0; i < 10; ++i) {
        sendAll();
        loseAll();
    }
    CHECK_EQUAL(static_cast<std::size_t>(probe_window::minLimit), window.room());
}

// Probes of upstreams that are gone tell nothing of the load.
TEST(probe_window, MissingAnswersOfReceiversThatAreGoneDoNotShrinkIt)
{
    const std::size_t first = sendAll();
    now += probe_window::answerTimeout;
    while (window.outstanding() > 0)
        window.expired(false, now);

    CHECK_EQUAL(first, window.room());
}

TEST(probe_window, SingleLossesDoNotShrinkIt)
{
    const std::size_t first = sendAll();
    for (int i = 0; i < 4; ++i)
        window.answered();
    now += probe_window::answerTimeout;
    window.expired(true, now);

    CHECK_TRUE(window.room() + window.outstanding() > first);
}

// After a reduction it approaches the former limit slowly.
TEST(probe_window, GrowsSlowlyAfterALoss)
{
    sendAll();
    loseAll();
    const std::size_t reduced = sendAll();
    answerAll();

    CHECK_TRUE(window.room() <= reduced + 1);
}
