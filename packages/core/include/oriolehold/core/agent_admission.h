#pragma once

#include "oriolehold/core/result_code.h"
#include "oriolehold/core/types.h"

#include <optional>

// Decision whether an agent queues a request.

namespace oriolehold::core {

struct admission_query
{
    std::uint8_t priority = 0; // 0 is the highest
    duration expectedService {};
    duration expectedWait {}; // until a slot is free for this job
    duration remaining {};    // until the deadline
    std::size_t queued = 0;   // jobs that wait already
    std::size_t maxQueued = 0;
};

class admission_policy
{
public:
    virtual ~admission_policy() = default;
    // The reason of a refusal, empty when the request may be queued.
    virtual std::optional<result_code> refuse(const admission_query &query) = 0;
};

// Refuses when the queue is full, or when a job would have to wait and its expected answer time
// exceeds the deadline.
class deadline_admission final : public admission_policy
{
public:
    std::optional<result_code> refuse(const admission_query &query) override;
};

} // namespace oriolehold::core
