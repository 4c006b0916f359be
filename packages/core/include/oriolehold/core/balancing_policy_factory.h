#pragma once

#include "oriolehold/core/balancing_policy.h"

#include <memory>

// The balancing policies by name, as settings give them.

namespace oriolehold::core {

// Chosen by measurement (bench/balancing_comparison.cpp).
inline constexpr std::string_view defaultBalancingPolicy = "smooth-weighted";

std::span<const std::string_view> balancingPolicyNames();

// nullptr when no policy has this name.
std::unique_ptr<balancing_policy> makeBalancingPolicy(std::string_view name);

} // namespace oriolehold::core
