#include "oriolehold/core/balancing_policy_factory.h"

#include "oriolehold/core/least_expected_wait_policy.h"
#include "oriolehold/core/power_of_two_policy.h"
#include "oriolehold/core/smooth_weighted_policy.h"
#include "oriolehold/core/weighted_random_policy.h"

#include <array>

namespace oriolehold::core {

namespace {

constexpr std::array<std::string_view, 4> names { "weighted-random", "power-of-two",
                                                  "least-expected-wait", "smooth-weighted" };

} // namespace

std::span<const std::string_view> balancingPolicyNames()
{
    return names;
}

std::unique_ptr<balancing_policy> makeBalancingPolicy(std::string_view name)
{
    if (name == "weighted-random")
        return std::make_unique<weighted_random_policy>();
    if (name == "power-of-two")
        return std::make_unique<power_of_two_policy>();
    if (name == "least-expected-wait")
        return std::make_unique<least_expected_wait_policy>();
    if (name == "smooth-weighted")
        return std::make_unique<smooth_weighted_policy>();
    return nullptr;
}

} // namespace oriolehold::core
