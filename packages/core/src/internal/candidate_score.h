#pragma once

#include "oriolehold/core/balancing_policy.h"

// Quantities that several balancing policies derive from a candidate.

namespace oriolehold::core::internal {

// Preference for the own availability zone, in jobs. It is small compared with one queued job, so
// that traffic leaves the zone before the zone queues.
inline constexpr double otherZonePenalty = 0.1;

// Work per unit of time at the present warmUpFactor.
double effectiveCapacity(const upstream_candidate &candidate);

// Weight of a random choice.
double selectionWeight(const upstream_candidate &candidate);

// Index drawn in proportion to selectionWeight().
std::size_t chooseByWeight(std::span<const upstream_candidate> candidates, random_source &random);

// Expected completion of one more job, in jobs per unit of capacity. Lower is better.
double expectedWaitScore(const upstream_candidate &candidate);

} // namespace oriolehold::core::internal
