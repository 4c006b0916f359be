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

TEST(admission_policy, AcceptsJobThatMeetsItsDeadline)
{
    request.expectedWait = 500ms;
    CHECK_FALSE(policy.refusal(request).has_value());
}

// Guards against queueing jobs that finish after their deadline and waste slots under overload.
TEST(admission_policy, RefusesJobThatWouldMissItsDeadline)
{
    request.expectedWait = 995ms;
    CHECK_TRUE(policy.refusal(request) == result_code::deadlineUnreachable);
    request.expectedWait = 0ms;
    request.expectedService = 2s;
    CHECK_TRUE(policy.refusal(request) == result_code::deadlineUnreachable);
}

TEST(admission_policy, RefusesAllPrioritiesWhenQueueOrMemoryIsFull)
{
    request.queued = 256;
    CHECK_TRUE(policy.refusal(request) == result_code::queueFull);
    request.queued = 0;
    request.freeMemory = 1 << 20;
    CHECK_TRUE(policy.refusal(request) == result_code::queueFull);
}

// Guards against low-priority jobs that fill the queue before high-priority jobs arrive.
TEST(admission_policy, LowerPrioritiesAreShedFirst)
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

TEST(admission_policy, LowerPrioritiesAllowShorterWaits)
{
    request.expectedWait = 500ms;
    request.priority = 1;
    CHECK_TRUE(policy.refusal(request) == result_code::priorityShed);
}
