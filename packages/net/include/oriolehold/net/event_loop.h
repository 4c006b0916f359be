#pragma once

#include "oriolehold/base/types.h"

#include <functional>
#include <mutex>
#include <vector>

// Event loop of a traffic thread, based on epoll.

namespace oriolehold::net {

// Clock of a daemon: starts at the system time and advances with the monotonic clock, so that steps
// of the system clock do not affect timers.
class daemon_clock
{
public:
    daemon_clock();
    base::time_point now() const;

private:
    base::time_point m_start;
    std::chrono::steady_clock::time_point m_steadyStart;
};

// Calls handlers of readable descriptors and posted tasks in the thread that calls run().
class event_loop
{
public:
    // Throws std::system_error when the epoll instance or the eventfd cannot be created.
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    // Calls onReady in the loop's thread whenever the descriptor is readable or has an error. Must
    // be called before run() or from the loop's thread. Throws std::system_error on failure.
    void watch(int descriptor, std::function<void()> onReady);

    // Runs a task in the loop's thread. Can be called by any thread.
    void post(std::function<void()> task);

    // Runs until stop() is called. Before each wait, calls onIdle, which runs due timers and
    // returns the longest time to wait; at most 1 s is waited.
    void run(const std::function<base::duration()> &onIdle);

    // Ends run(). Can be called by any thread.
    void stop();

private:
    void runPosted();
    void wake();

    int m_epoll = -1;
    int m_wakeup = -1;
    std::vector<std::function<void()>> m_watched;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted; // guarded by m_mutex
    bool m_stopped = false;                      // guarded by m_mutex
};

} // namespace oriolehold::net
