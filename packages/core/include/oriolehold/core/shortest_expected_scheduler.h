#pragma once

#include "oriolehold/core/slot_scheduler.h"

#include <array>
#include <map>
#include <unordered_map>
#include <utility>

// Shortest expected job first, with ageing: a job of length e is overtaken only by jobs that arrive
// within a multiple of e after it. Ignores priorities and reserves no slot.

namespace oriolehold::core {

class shortest_expected_scheduler final : public slot_scheduler
{
public:
    std::string_view name() const override { return "shortest-expected"; }
    void enqueue(const waiting_job &job) override;
    bool remove(job_id id) override;
    std::optional<job_id> dequeue(std::span<const duration> running, std::size_t slots,
                                  time_point now) override;
    duration expectedWait(std::uint8_t priority, duration expectedService,
                          std::span<const duration> running, std::size_t slots,
                          time_point now) const override;
    std::size_t size() const override { return m_positions.size(); }

private:
    // All jobs age at the same rate, so the order of queued jobs never changes.
    using order_key = std::pair<time_point, std::uint64_t>; // arrival plus ageing time, sequence
    struct queue_position
    {
        order_key key;
        std::size_t bucket = 0;
        duration length {};
    };

    // Queued work is summed by the binary logarithm of the length in microseconds, for
    // expectedWait().
    static constexpr std::size_t bucketCount = 64;
    static std::size_t bucketOf(duration length);

    std::uint64_t m_nextSequence = 0;
    std::map<order_key, job_id> m_queue;
    std::unordered_map<job_id, queue_position> m_positions;
    std::array<duration, bucketCount> m_work {};
};

} // namespace oriolehold::core
