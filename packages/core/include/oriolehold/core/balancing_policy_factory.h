#pragma once

#include "oriolehold/core/balancing_policy.h"

#include <memory>

namespace oriolehold::core {

// The policy with this name, as in the settings of the entry daemon: "weighted-random", "power-of-two",
// "least-expected-wait" or "smooth-weighted"; nullptr for any other name.
std::unique_ptr<balancing_policy> makeBalancingPolicy(std::string_view name);

} // namespace oriolehold::core
