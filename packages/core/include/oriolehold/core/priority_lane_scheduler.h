#pragma once

#include "oriolehold/core/job_length_classifier.h"
#include "oriolehold/core/slot_scheduler.h"

#include <map>
#include <tuple>
#include <unordered_map>

// Default scheduler: strict priorities for short jobs, shorter jobs first within a priority, and a
// limited number of slots for long jobs.
//
// A predicted length of 0 means "unknown", for waiting and for running jobs. The caller passes the
// result of predictTotalServiceTime() (running_prediction.h) for running jobs, so that a job that
// runs much longer than predicted counts as long.

namespace oriolehold::core {

struct priority_lane_options
{
    // A job of length e is overtaken only by jobs of its priority that arrive within
    // shortAgeing * e after it.
    int shortAgeing = 2;
    // A long job of length e is aged after a wait of longAgeing * e * (priority + 1) and overdue
    // after overdueAgeing * e * (priority + 1). An aged job precedes short jobs of the same or a
    // lower priority, an overdue one all short jobs.
    int longAgeing = 5;
    int overdueAgeing = 10;
    // After a long job of length e preceded short jobs, no other does for precedenceGap * e. This
    // limits the share of one slot's time that long jobs take from waiting short jobs to
    // 1 / precedenceGap.
    int precedenceGap = 2;
    // Long jobs leave free this many times the slots that short jobs use on average. Aged jobs
    // leave less headroom, overdue ones a single slot.
    double shortHeadroom = 1.5;
    double agedHeadroom = 1.15;
};

class priority_lane_scheduler final : public slot_scheduler
{
public:
    explicit priority_lane_scheduler(priority_lane_options options = {});

    std::string_view name() const override { return "priority-lanes"; }
    void enqueue(const waiting_job &job) override;
    bool remove(job_id id) override;
    // Always returns a job if one is queued and none is running, so an idle upstream never stalls.
    std::optional<job_id> dequeue(std::span<const duration> running, std::size_t slots,
                                  time_point now) override;
    duration expectedWait(std::uint8_t priority, duration expectedService,
                          std::span<const duration> running, std::size_t slots,
                          time_point now) const override;
    std::size_t size() const override { return m_jobs.size(); }

private:
    enum class lane : std::uint8_t { shortWork, unknownWork, longWork };
    // Priority, arrival plus ageing time, sequence number. For long jobs the priority is 0, because
    // their ageing time includes it.
    using order_key = std::tuple<std::uint8_t, time_point, std::uint64_t>;

    enum class wait_stage : std::uint8_t { fresh, aged, overdue };

    struct queued_job
    {
        lane kind = lane::shortWork;
        order_key key;
        time_point arrival;
        std::uint8_t priority = 0;
        duration length {};
    };

    // Running means over the arrivals of one kind of job.
    struct arrival_tracker
    {
        void observe(time_point now, duration length);
        // Whether an arrival within the next horizon is likely.
        bool isArrivalLikely(time_point now, duration horizon) const;
        // Average number of slots in use.
        double load() const;

        time_point last;
        double meanGap = 0.0;    // microseconds
        double meanLength = 0.0; // microseconds
        std::uint64_t count = 0;
    };

    struct slot_use
    {
        std::size_t longJobs = 0;
        std::size_t unknownJobs = 0;
    };

    using lane_queue = std::map<order_key, job_id>;

    lane_queue &queueOf(lane kind);
    slot_use countRunning(std::span<const duration> running) const;
    wait_stage waitStageOf(const queued_job &longJob, time_point now) const;
    std::size_t longLimit(duration length, wait_stage stage, std::size_t slots,
                          time_point now) const;
    bool takesPrecedence(const queued_job &longJob, time_point now) const;
    // Whether known short jobs are waiting or likely to arrive while a job of unknown length runs.
    bool expectsKnownShortJobs(time_point now) const;
    std::size_t unknownLimit(std::size_t slots, time_point now) const;
    // Priority of the next short or unknown job.
    std::optional<std::uint8_t> nextShortPriority() const;
    job_id dequeueFrom(lane_queue &queue);

    priority_lane_options m_options;
    job_length_classifier m_lengths;
    arrival_tracker m_knownArrivals; // known short jobs
    arrival_tracker m_shortArrivals; // known short and unknown jobs
    std::uint64_t m_nextSequence = 0;
    std::unordered_map<job_id, queued_job> m_jobs;
    lane_queue m_short;
    lane_queue m_unknown;
    lane_queue m_long;
    std::map<std::uint8_t, duration> m_shortWork; // queued, by priority
    duration m_unknownWork {};                    // queued
    duration m_longWork {};                       // queued
    time_point m_nextPrecedence;                  // earliest next precedence of a long job
};

} // namespace oriolehold::core
