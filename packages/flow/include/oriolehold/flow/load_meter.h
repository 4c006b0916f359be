#pragma once

#include "oriolehold/base/types.h"

namespace oriolehold::flow {

// Counts the requests at an upstream and averages their number and duration. The packets of flows
// are its only input.
class load_meter
{
public:
    // Time constant of the exponentially weighted mean number of requests.
    static constexpr std::chrono::milliseconds averagingTime { 1000 };

    void begin(base::time_point now);
    // A request was answered. elapsed is the time since its begin().
    void end(base::duration elapsed, base::time_point now);
    // Begins the averages anew: the upstream has started or recovered, and former times say nothing
    // about it. Until a request that began later is answered, the mean number of requests is the
    // present one. The first two answers count as the shorter of them, because the first request of
    // an upstream may take much longer than the next.
    void restart(base::time_point now);
    // A request ended without an answer.
    void abandon(base::time_point now);

    // Requests that have begun and not ended.
    std::uint32_t running() const { return m_running; }
    // Thousandths of a request; 0 before the first begin().
    std::uint32_t meanRunning(base::time_point now) const;
    // Zero before the first end().
    base::duration meanServiceTime() const { return m_meanServiceTime; }

private:
    double meanAt(base::time_point now) const;
    void advance(base::time_point now);

    std::uint32_t m_running = 0;
    double m_mean = 0.0;          // requests, at the time m_meanAt
    base::time_point m_meanAt {}; // epoch: no request so far
    base::duration m_meanServiceTime {};
    base::time_point m_restartedAt {};
    unsigned m_firstAnswers = 0; // answers after a restart that are still to come
};

} // namespace oriolehold::flow
