#pragma once

#include "oriolehold/core/types.h"

// Predicts the total service time of a running job for slot_scheduler::dequeue() and
// expectedWait().

namespace oriolehold::core {

// predicted is the prediction at dispatch, 0 for a job of unknown length. mean is the running mean
// over all jobs, 0 when unknown. A job that exceeded its prediction is expected to run on for as
// long as it has overrun. An unknown job stays unknown (0) until it has run much longer than mean.
duration predictTotalServiceTime(duration predicted, duration elapsed, duration mean);

} // namespace oriolehold::core
