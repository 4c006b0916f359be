#pragma once

#include "oriolehold/core/slot_scheduler.h"

#include <map>
#include <unordered_map>

// First in, first out. Ignores priorities and predicted lengths. Baseline of the benchmarks.

namespace oriolehold::core {

class fifo_scheduler final : public slot_scheduler
{
public:
    std::string_view name() const override { return "fifo"; }
    void enqueue(const waiting_job &job) override;
    bool remove(job_id id) override;
    std::optional<job_id> dequeue(std::span<const duration> running, std::size_t slots,
                                  time_point now) override;
    duration expectedWait(std::uint8_t priority, duration expectedService,
                          std::span<const duration> running, std::size_t slots,
                          time_point now) const override;
    std::size_t size() const override { return m_queue.size(); }

private:
    std::uint64_t m_nextSequence = 0;
    std::map<std::uint64_t, waiting_job> m_queue; // by order of arrival
    std::unordered_map<job_id, std::uint64_t> m_sequences;
    duration m_queuedWork {};
};

} // namespace oriolehold::core
