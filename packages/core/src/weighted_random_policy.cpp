#include "oriolehold/core/weighted_random_policy.h"

#include "internal/candidate_score.h"

namespace oriolehold::core {

std::size_t weighted_random_policy::choose(std::span<const upstream_candidate> candidates,
                                           random_source &random)
{
    return internal::chooseByWeight(candidates, random);
}

} // namespace oriolehold::core
