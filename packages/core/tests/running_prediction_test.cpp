#include "oriolehold/core/running_prediction.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(running_prediction) {};

TEST(running_prediction, PredictionIsKeptUntilItIsExceeded)
{
    CHECK_TRUE(predictTotalServiceTime(10ms, 4ms, 10ms) == 10ms);
    CHECK_TRUE(predictTotalServiceTime(10ms, 10ms, 10ms) == 10ms);
}

TEST(running_prediction, PredictionGrowsWithTheOverrun)
{
    CHECK_TRUE(predictTotalServiceTime(10ms, 110ms, 10ms) == 210ms);
}

TEST(running_prediction, UnknownJobStaysUnknownUntilItRunsMuchLongerThanTheMean)
{
    CHECK_TRUE(predictTotalServiceTime(0ms, 40ms, 10ms) == 0ms);
    CHECK_TRUE(predictTotalServiceTime(0ms, 50ms, 10ms) == 100ms);
    CHECK_TRUE(predictTotalServiceTime(0ms, 1h, 0ms) == 0ms);
}
