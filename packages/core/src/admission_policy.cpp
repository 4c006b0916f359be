#include "oriolehold/core/admission_policy.h"

#include <cmath>

namespace oriolehold::core {

deadline_admission_policy::deadline_admission_policy(deadline_admission_options options)
    : m_options(options)
{ }

std::optional<result_code>
deadline_admission_policy::refusal(const admission_request &request) const
{
    if (request.queued >= m_options.maxQueued || request.freeMemory < m_options.minFreeMemory)
        return result_code::queueFull;

    const duration slack = request.deadline - request.now - request.expectedService;
    const double allowedWait = m_options.waitShare * static_cast<double>(slack.count());
    const double wait = static_cast<double>(request.expectedWait.count());
    if (slack <= duration::zero() || wait > allowedWait)
        return result_code::deadlineUnreachable;

    const double share = std::pow(m_options.lowerPriorityShare, request.priority);
    const bool queueShareUsed =
            static_cast<double>(request.queued) >= share * static_cast<double>(m_options.maxQueued);
    const bool memoryShareUsed = share * static_cast<double>(request.freeMemory)
            < static_cast<double>(m_options.minFreeMemory);
    const double waitShare = std::pow(m_options.lowerPriorityWaitShare, request.priority);
    if (queueShareUsed || memoryShareUsed || wait > waitShare * allowedWait)
        return result_code::priorityShed;
    return std::nullopt;
}

} // namespace oriolehold::core
