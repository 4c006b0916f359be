#include "oriolehold/core/running_prediction.h"

#include <algorithm>

namespace oriolehold::core {

namespace {

// A job of unknown length counts as long after this many times the mean.
constexpr duration::rep unknownFactor = 4;

} // namespace

duration predictTotalServiceTime(duration predicted, duration elapsed, duration mean)
{
    if (predicted > duration::zero())
        return std::max(predicted, 2 * elapsed - predicted);
    const bool overdue = mean > duration::zero() && elapsed > unknownFactor * mean;
    return overdue ? 2 * elapsed : duration::zero();
}

} // namespace oriolehold::core
