#pragma once

#include "oriolehold/core/types.h"

// Estimates waiting times for schedulers from predicted lengths.

namespace oriolehold::core::internal {

// Time until a slot is free for a job with workAhead of queued work in front of it. running holds
// the predicted total service times of the running jobs; 0 (unknown) counts as unknownLength. Their
// elapsed times are not known, so each job is assumed to be half done.
duration estimateWait(duration workAhead, std::span<const duration> running, std::size_t slots,
                      duration unknownLength);

} // namespace oriolehold::core::internal
