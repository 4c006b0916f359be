#pragma once

#include "oriolehold/core/balancing_policy.h"

// Quantities that several balancing policies derive from a candidate.

namespace oriolehold::core::internal {

// Penalty on candidates in another availability zone, in jobs. It is far below one queued job, so
// that flows go to other zones before jobs queue in the own zone.
inline constexpr double otherZonePenalty = 0.1;

// Work per unit of time at the current warm-up factor.
double effectiveCapacity(const upstream_candidate &candidate);

// Weight in a random choice.
double selectionWeight(const upstream_candidate &candidate);

// Index drawn in proportion to selectionWeight().
std::size_t chooseByWeight(std::span<const upstream_candidate> candidates, random_source &random);

// Expected completion of one more job, in jobs per unit of capacity. Lower is better.
double expectedWaitScore(const upstream_candidate &candidate);

} // namespace oriolehold::core::internal
