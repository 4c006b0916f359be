#include "internal/wait_estimate.h"

#include <algorithm>
#include <iterator>

namespace oriolehold::core::internal {

duration estimateWait(duration workAhead, std::span<const duration> running, std::size_t slots,
                      duration unknownLength)
{
    slots = std::max<std::size_t>(slots, 1);
    std::vector<duration> residuals(slots, duration::zero());
    const std::size_t busy = std::min(slots, running.size());
    std::ranges::transform(running.first(busy), residuals.begin(), [&](duration total) {
        return (total > duration::zero() ? total : unknownLength) / 2;
    });
    std::ranges::sort(residuals);

    // Fills the slots that become free first until the work ahead is used up.
    duration level = residuals.front();
    duration remaining = workAhead;
    for (std::size_t open = 1; open <= slots; ++open) {
        const duration::rep width = static_cast<duration::rep>(open);
        const bool last = open == slots;
        if (last || (residuals[open] - level) * width >= remaining)
            return level + remaining / width;
        remaining -= (residuals[open] - level) * width;
        level = residuals[open];
    }
    return level;
}

} // namespace oriolehold::core::internal
