#pragma once

#include "oriolehold/core/types.h"

#include <optional>
#include <string_view>

// Interface of the schedulers that assign waiting jobs to the slots of one upstream.

namespace oriolehold::core {

enum class job_id : std::uint64_t {};

struct waiting_job
{
    job_id id {};
    std::uint8_t priority = 0;   // 0 is the highest
    duration expectedService {}; // predicted service time
    time_point arrival;
    time_point deadline;
};

// Holds the queue; the caller manages the slots. A job is in the queue from enqueue() until it is
// returned by dequeue() or removed.
class slot_scheduler
{
public:
    virtual ~slot_scheduler() = default;
    virtual std::string_view name() const = 0;

    virtual void enqueue(const waiting_job &job) = 0;
    // Removes a job that was canceled or expired; returns whether it was queued.
    virtual bool remove(job_id id) = 0;
    // Removes and returns the next job for a free slot. running holds the predicted total service
    // times of the running jobs. An empty optional keeps the slot free, for example because it is
    // reserved for short jobs.
    virtual std::optional<job_id> dequeue(std::span<const duration> running, std::size_t slots,
                                          time_point now) = 0;
    // Expected time until a new job of this priority and predicted length would get a slot.
    virtual duration expectedWait(std::uint8_t priority, duration expectedService,
                                  std::span<const duration> running, std::size_t slots,
                                  time_point now) const = 0;
    virtual std::size_t size() const = 0;
};

} // namespace oriolehold::core
