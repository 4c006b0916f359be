#pragma once

#include "oriolehold/base/types.h"

#include <functional>
#include <mutex>
#include <vector>

// Event loop of one traffic thread, on epoll.

namespace oriolehold::net {

// Time line of a daemon: the system clock at construction, advanced by the monotonic clock, so that
// steps of the system clock do not disturb timers.
class daemon_clock
{
public:
    daemon_clock();
    base::time_point now() const;

private:
    base::time_point m_start;
    std::chrono::steady_clock::time_point m_steadyStart;
};

class event_loop
{
public:
    // Throws std::system_error when the kernel objects cannot be made.
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    // Calls onReady in the loop's thread whenever the descriptor is readable or has an error. Must
    // be called before run() or from the loop's thread.
    void watch(int descriptor, std::function<void()> onReady);

    // Runs a task in the loop's thread. Can be called by any thread.
    void post(std::function<void()> task);

    // Runs until stop(). onIdle is called before each wait, runs due timers and returns the longest
    // time to wait.
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
