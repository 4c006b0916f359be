#pragma once

#include "oriolehold/core/result_code.h"
#include "oriolehold/core/types.h"

#include <optional>

// Decision to accept or refuse a job before it is queued.

namespace oriolehold::core {

struct admission_request
{
    time_point now;
    time_point deadline;
    duration expectedWait {};    // slot_scheduler::expectedWait()
    duration expectedService {}; // 0 when unknown
    std::uint8_t priority = 0;   // 0 is the highest
    std::size_t queued = 0;      // waiting jobs of all classes
    std::size_t freeMemory = 0;  // bytes until the process reaches its limit
};

class admission_policy
{
public:
    virtual ~admission_policy() = default;
    // The reason to refuse the job, or an empty optional to accept it.
    virtual std::optional<result_code> refusal(const admission_request &request) const = 0;
};

struct deadline_admission_options
{
    std::size_t maxQueued = 256;         // jobs
    std::size_t minFreeMemory = 4 << 20; // bytes
    // Each lower class may use this share of the queue and of the memory margin of the class above.
    double lowerPriorityShare = 0.5;
    // The same for the waiting time. It bounds the backlog that remains after a burst.
    double lowerPriorityWaitShare = 0.25;
    // Part of the time between service and deadline that the expected wait may use. With 0.7, high-
    // priority work was refused in bursts although it would have met its deadline.
    double waitShare = 0.9;
};

// Refuses work that would miss its deadline, and lower classes well before the queue is full. Takes
// constant time.
class deadline_admission_policy final : public admission_policy
{
public:
    explicit deadline_admission_policy(deadline_admission_options options = {});
    // queueFull, deadlineUnreachable or priorityShed.
    std::optional<result_code> refusal(const admission_request &request) const override;

private:
    deadline_admission_options m_options;
};

} // namespace oriolehold::core
