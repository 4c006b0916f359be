#include "oriolehold/core/power_of_two_policy.h"

#include "internal/candidate_score.h"

namespace oriolehold::core {

std::size_t power_of_two_policy::choose(std::span<const upstream_candidate> candidates,
                                        random_source &random)
{
    const std::size_t first = internal::chooseByWeight(candidates, random);
    const std::size_t second = internal::chooseByWeight(candidates, random);
    return internal::expectedWaitScore(candidates[second])
                    < internal::expectedWaitScore(candidates[first])
            ? second
            : first;
}

} // namespace oriolehold::core
