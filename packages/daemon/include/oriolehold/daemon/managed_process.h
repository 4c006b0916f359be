#pragma once

#include <chrono>
#include <string>

// Process life cycle of all daemons: start, graceful drain on the first stop signal, immediate stop
// on the second.

namespace oriolehold::daemon {

class managed_process
{
public:
    virtual ~managed_process() = default;
    virtual void start() = 0;
    // Begins a graceful stop. Can be called by any thread; repeated calls have no effect.
    virtual void drain() = 0;
    // Returns true when a drain has begun and no work is left.
    virtual bool drained() const = 0;
    // Describes, for the log, the work that a stop would cut off now; may be empty.
    virtual std::string remainingWork() const { return {}; }
    // Path of a file whose changes cause a reload() without a signal; empty for none.
    virtual std::string settingsFile() const { return {}; }
    // Applies the settings file, which may have changed. Called by the thread of runUntilStopped().
    virtual void reload() { }
    // Stops and joins all threads.
    virtual void stop() = 0;
};

// Why a process stopped.
enum class stop_reason { drained, drainLimit, secondSignal };

struct stop_result
{
    stop_reason reason = stop_reason::drained;
    std::string cutOff; // remainingWork() at an early stop, else empty
};

// Blocks SIGTERM, SIGINT and SIGHUP for the calling thread and all threads that it starts. Must be
// called before the first thread starts.
void blockHandledSignals();

// Starts the process and returns after it has stopped. The first SIGTERM or SIGINT starts a drain;
// a second one, or a drain that exceeds drainLimit, stops the process at once. SIGHUP or a change
// of the settings file calls reload().
stop_result runUntilStopped(managed_process &process, std::chrono::milliseconds drainLimit);

} // namespace oriolehold::daemon
