#pragma once

#include "oriolehold/core/job_length_classifier.h"
#include "oriolehold/core/slot_scheduler.h"

#include <map>
#include <unordered_map>

// First in, first out, except that long jobs never occupy all slots if there are two or more.
// Ignores priorities.

namespace oriolehold::core {

class reserved_slot_scheduler final : public slot_scheduler
{
public:
    std::string_view name() const override { return "reserved-slot"; }
    void enqueue(const waiting_job &job) override;
    bool remove(job_id id) override;
    std::optional<job_id> dequeue(std::span<const duration> running, std::size_t slots,
                                  time_point now) override;
    duration expectedWait(std::uint8_t priority, duration expectedService,
                          std::span<const duration> running, std::size_t slots,
                          time_point now) const override;
    std::size_t size() const override { return m_positions.size(); }

private:
    struct lane
    {
        std::map<std::uint64_t, waiting_job> queue; // by order of arrival
        duration work {};
    };
    struct queue_position
    {
        bool isLong = false;
        std::uint64_t sequence = 0;
    };

    lane &laneOf(bool isLong) { return isLong ? m_long : m_short; }

    job_length_classifier m_lengths;
    std::uint64_t m_nextSequence = 0;
    lane m_short;
    lane m_long;
    std::unordered_map<job_id, queue_position> m_positions;
};

} // namespace oriolehold::core
