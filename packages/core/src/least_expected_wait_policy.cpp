#include "oriolehold/core/least_expected_wait_policy.h"

#include "internal/candidate_score.h"

namespace oriolehold::core {

std::size_t least_expected_wait_policy::choose(std::span<const upstream_candidate> candidates,
                                               random_source &random)
{
    std::size_t best = 0;
    double bestScore = internal::expectedWaitScore(candidates[0]);
    std::uint64_t ties = 1;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const double score = internal::expectedWaitScore(candidates[i]);
        if (score > bestScore)
            continue;
        ties = score == bestScore ? ties + 1 : 1;
        bestScore = score;
        // Each of n equal candidates is chosen with probability 1/n.
        if (ties == 1 || random.below(ties) == 0)
            best = i;
    }
    return best;
}

} // namespace oriolehold::core
