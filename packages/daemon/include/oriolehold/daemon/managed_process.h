#pragma once

#include <chrono>

// Life cycle that both daemons share: start, graceful drain on the first signal, stop on the
// second.

namespace oriolehold::daemon {

class managed_process
{
public:
    virtual ~managed_process() = default;
    virtual void start() = 0;
    // Begins a graceful stop. Can be called by any thread, more than once.
    virtual void drain() = 0;
    // True when a drain was begun and no work is left.
    virtual bool drained() const = 0;
    // Ends all threads.
    virtual void stop() = 0;
};

// How a process ended.
enum class stop_reason { drained, drainLimit, secondSignal };

// Blocks SIGTERM and SIGINT for the calling thread and all threads that it starts. Must be called
// before the first thread starts.
void blockStopSignals();

// Starts the process and returns after it was stopped. The first SIGTERM or SIGINT drains; a second
// one, or the end of drainLimit, stops at once.
stop_reason runUntilStopped(managed_process &process, std::chrono::milliseconds drainLimit);

} // namespace oriolehold::daemon
