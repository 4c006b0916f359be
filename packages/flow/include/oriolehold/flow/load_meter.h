#pragma once

#include "oriolehold/core/types.h"

namespace oriolehold::flow {

// Counts the requests at an upstream and averages their number and duration, by packets alone.
class load_meter
{
public:
    // Time constant of the mean number of requests.
    static constexpr std::chrono::milliseconds averagingTime { 1000 };

    void begin(core::time_point now);
    // elapsed is the time since the request's begin().
    void end(core::duration elapsed, core::time_point now);
    // A request ended without an answer.
    void abandon(core::time_point now);

    std::uint32_t running() const { return m_running; }
    // Thousandths.
    std::uint32_t meanRunning(core::time_point now) const;
    core::duration meanServiceTime() const { return m_meanServiceTime; }

private:
    double meanAt(core::time_point now) const;
    void advance(core::time_point now);

    std::uint32_t m_running = 0;
    double m_mean = 0.0;
    core::time_point m_meanAt {};
    core::duration m_meanServiceTime {};
};

} // namespace oriolehold::flow
