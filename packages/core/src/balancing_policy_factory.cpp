#include "oriolehold/core/balancing_policy_factory.h"

#include "oriolehold/core/weighted_random_policy.h"

namespace oriolehold::core {

std::unique_ptr<balancing_policy> makeBalancingPolicy(std::string_view name)
{
    if (name == "weighted-random" || name == "least-expected-wait")
        return std::make_unique<weighted_random_policy>();
    return nullptr;
}

} // namespace oriolehold::core
