#include "oriolehold/core/agent_admission.h"

namespace oriolehold::core {

std::optional<result_code> deadline_admission::refuse(const admission_query &query)
{
    if (query.queued >= query.maxQueued)
        return result_code::queueFull;
    // A job that starts at once is admitted whatever its prediction: only its execution can correct
    // a prediction that a straggler has spoiled.
    const bool waits = query.expectedWait > duration::zero();
    if (waits && query.expectedWait + query.expectedService > query.remaining)
        return result_code::deadlineUnreachable;
    return std::nullopt;
}

} // namespace oriolehold::core
