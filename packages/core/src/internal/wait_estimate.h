#pragma once

#include "oriolehold/core/types.h"

// Expected waits for schedulers, from predicted lengths only.

namespace oriolehold::core::internal {

// Time until a slot is free for a job with workAhead of queued work in front of it. The elapsed
// times of the running jobs are not known, so each is assumed to be half done. Jobs that run for
// an unknown time (0) count as unknownLength.
duration estimateWait(duration workAhead, std::span<const duration> running, std::size_t slots,
                      duration unknownLength);

} // namespace oriolehold::core::internal
