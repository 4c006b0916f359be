#pragma once

#include "oriolehold/base/types.h"

namespace oriolehold::flow {

// Counts the requests at an upstream and averages their number and duration, by packets alone.
class load_meter
{
public:
    // Time constant of the mean number of requests.
    static constexpr std::chrono::milliseconds averagingTime { 1000 };

    void begin(base::time_point now);
    // elapsed is the time since the request's begin().
    void end(base::duration elapsed, base::time_point now);
    // A request ended without an answer.
    void abandon(base::time_point now);

    std::uint32_t running() const { return m_running; }
    // Thousandths.
    std::uint32_t meanRunning(base::time_point now) const;
    base::duration meanServiceTime() const { return m_meanServiceTime; }

private:
    double meanAt(base::time_point now) const;
    void advance(base::time_point now);

    std::uint32_t m_running = 0;
    double m_mean = 0.0;
    base::time_point m_meanAt {};
    base::duration m_meanServiceTime {};
};

} // namespace oriolehold::flow
