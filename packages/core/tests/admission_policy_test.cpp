#include "oriolehold/core/admission_policy.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace std::chrono_literals;

TEST_GROUP(admission_policy)
{
    deadline_admission_policy policy;
    admission_request request { .now = time_point { 5s },
                                .deadline = time_point { 6s },
                                .expectedService = 10ms,
                                .freeMemory = 1 << 30 };
};

TEST(admission_policy, AcceptsWorkThatMeetsItsDeadline)
{
    request.expectedWait = 500ms;
    CHECK_FALSE(policy.refusal(request).has_value());
}

// Guards against queueing work that is answered too late, which wastes the slots under overload.
TEST(admission_policy, RefusesWorkThatWouldMissItsDeadline)
{
    request.expectedWait = 995ms;
    CHECK_TRUE(policy.refusal(request) == result_code::deadlineUnreachable);
    request.expectedWait = 0ms;
    request.expectedService = 2s;
    CHECK_TRUE(policy.refusal(request) == result_code::deadlineUnreachable);
}

TEST(admission_policy, RefusesAnyPriorityWhenTheQueueOrTheMemoryIsFull)
{
    request.queued = 256;
    CHECK_TRUE(policy.refusal(request) == result_code::queueFull);
    request.queued = 0;
    request.freeMemory = 1 << 20;
    CHECK_TRUE(policy.refusal(request) == result_code::queueFull);
}

// Guards against low-priority work that fills the queue before high-priority work arrives.
TEST(admission_policy, LowerPrioritiesGiveWayFirst)
{
    request.queued = 200;
    CHECK_FALSE(policy.refusal(request).has_value());
    request.priority = 1;
    CHECK_TRUE(policy.refusal(request) == result_code::priorityShed);
    request.queued = 100;
    CHECK_FALSE(policy.refusal(request).has_value());
    request.priority = 2;
    CHECK_TRUE(policy.refusal(request) == result_code::priorityShed);
}

TEST(admission_policy, LowerPrioritiesMayUseLessOfTheWaitingTime)
{
    request.expectedWait = 500ms;
    request.priority = 1;
    CHECK_TRUE(policy.refusal(request) == result_code::priorityShed);
}
