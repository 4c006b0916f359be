#include "internal/candidate_score.h"

#include <algorithm>
#include <numeric>

namespace oriolehold::core::internal {

namespace {

// Factor on the weight of a candidate in another zone.
constexpr double otherZoneWeight = 0.95;

} // namespace

double effectiveCapacity(const upstream_candidate &candidate)
{
    return candidate.upstream->slots * candidate.upstream->strength * candidate.warmUpFactor;
}

double selectionWeight(const upstream_candidate &candidate)
{
    return effectiveCapacity(candidate) * (candidate.sameZone ? 1.0 : otherZoneWeight);
}

std::size_t chooseByWeight(std::span<const upstream_candidate> candidates, random_source &random)
{
    const double total = std::accumulate(candidates.begin(), candidates.end(), 0.0,
                                         [](double sum, const upstream_candidate &candidate) {
                                             return sum + selectionWeight(candidate);
                                         });
    double rest = random.uniform01() * total;
    const auto found = std::ranges::find_if(candidates, [&](const upstream_candidate &candidate) {
        rest -= selectionWeight(candidate);
        return rest < 0.0;
    });
    // Rounding can leave a small positive rest after the last candidate.
    const auto index = static_cast<std::size_t>(found - candidates.begin());
    return std::min(index, candidates.size() - 1);
}

double expectedWaitScore(const upstream_candidate &candidate)
{
    const double penalty = candidate.sameZone ? 0.0 : otherZonePenalty;
    return (candidate.outstanding + 1.0 + penalty) / effectiveCapacity(candidate);
}

} // namespace oriolehold::core::internal
