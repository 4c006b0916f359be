#pragma once

#include <chrono>
#include <string>

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
    // Work that a stop would cut off now, for the log; empty when there is none.
    virtual std::string remainingWork() const { return {}; }
    // A file whose changes reload the process, also without a signal. Empty: none.
    virtual std::string settingsFile() const { return {}; }
    // The settings file may have changed. Called by the thread of runUntilStopped().
    virtual void reload() { }
    // Ends all threads.
    virtual void stop() = 0;
};

// How a process ended.
enum class stop_reason { drained, drainLimit, secondSignal };

struct stop_result
{
    stop_reason reason = stop_reason::drained;
    std::string cutOff; // remainingWork() at the stop
};

// Blocks SIGTERM, SIGINT and SIGHUP for the calling thread and all threads that it starts. Must be
// called before the first thread starts.
void blockHandledSignals();

// Starts the process and returns after it was stopped. The first SIGTERM or SIGINT drains; a second
// one, or the end of drainLimit, stops at once. SIGHUP and a change of the settings file reload.
stop_result runUntilStopped(managed_process &process, std::chrono::milliseconds drainLimit);

} // namespace oriolehold::daemon
