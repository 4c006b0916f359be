#pragma once

#include "oriolehold/core/balancing_policy.h"

#include <memory>

// Creates balancing policies by the names that the settings use.

namespace oriolehold::core {

// bench/balancing_comparison.cpp compares the policies.
inline constexpr std::string_view defaultBalancingPolicy = "smooth-weighted";

std::span<const std::string_view> balancingPolicyNames();

// Returns nullptr if no policy has this name.
std::unique_ptr<balancing_policy> makeBalancingPolicy(std::string_view name);

} // namespace oriolehold::core
