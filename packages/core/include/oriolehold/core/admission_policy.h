#pragma once

#include "oriolehold/core/result_code.h"
#include "oriolehold/core/types.h"

#include <optional>

// Admission control: accepts or refuses a job before it is queued.

namespace oriolehold::core {

struct admission_request
{
    time_point now;
    time_point deadline;
    duration expectedWait {};    // slot_scheduler::expectedWait()
    duration expectedService {}; // 0 when unknown
    std::uint8_t priority = 0;   // 0 is the highest
    std::size_t queued = 0;      // waiting jobs of all priorities
    std::size_t freeMemory = 0;  // bytes until the process reaches its limit
};

class admission_policy
{
public:
    virtual ~admission_policy() = default;
    // Returns the reason to refuse the job, or an empty optional to accept it.
    virtual std::optional<result_code> refusal(const admission_request &request) const = 0;
};

struct deadline_admission_options
{
    std::size_t maxQueued = 256;         // jobs
    std::size_t minFreeMemory = 4 << 20; // bytes
    // Share of the queue and of the memory margin that a priority may use, relative to the next
    // higher priority.
    double lowerPriorityShare = 0.5;
    // Same for the allowed wait. Limits the backlog that remains after a burst.
    double lowerPriorityWaitShare = 0.25;
    // Share of the slack (time to the deadline minus service time) that the expected wait may use.
    // 0.7 refuses high-priority jobs in bursts although they would meet their deadline.
    double waitShare = 0.9;
};

// Refuses jobs that would miss their deadline, and sheds lower priorities before the queue is full.
// Runs in constant time.
class deadline_admission_policy final : public admission_policy
{
public:
    explicit deadline_admission_policy(deadline_admission_options options = {});
    // Returns queueFull, deadlineUnreachable or priorityShed for a refused job.
    std::optional<result_code> refusal(const admission_request &request) const override;

private:
    deadline_admission_options m_options;
};

} // namespace oriolehold::core
