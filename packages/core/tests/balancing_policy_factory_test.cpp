#include "oriolehold/core/balancing_policy_factory.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;

TEST_GROUP(balancing_policy_factory) {};

TEST(balancing_policy_factory, CreatesEveryPolicyByItsName)
{
    for (const std::string_view name : balancingPolicyNames())
        CHECK_TRUE(makeBalancingPolicy(name)->name() == name);
    CHECK_TRUE(makeBalancingPolicy(defaultBalancingPolicy) != nullptr);
    CHECK_TRUE(makeBalancingPolicy("other") == nullptr);
}
