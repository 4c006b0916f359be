#include "oriolehold/daemon/managed_process.h"

#include "oriolehold/daemon/file_watch.h"

#include <csignal>
#include <optional>

namespace oriolehold::daemon {

namespace {

using steady_time = std::chrono::steady_clock::time_point;

constexpr timespec pollInterval { 0, 50'000'000 }; // 50 ms
// Interval between checks of the settings file. Changes must take effect within 3 s.
constexpr std::chrono::milliseconds fileCheckInterval { 1000 };

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void blockHandledSignals()
{
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

stop_result runUntilStopped(managed_process &process, std::chrono::milliseconds drainLimit)
{
    const sigset_t signals = handledSignals();
    std::optional<steady_time> deadline;
    stop_result result;
    file_watch settings(process.settingsFile());
    steady_time nextFileCheck = std::chrono::steady_clock::now() + fileCheckInterval;
    process.start();
    while (!process.drained()) {
        const int signal = sigtimedwait(&signals, nullptr, &pollInterval);
        const steady_time now = std::chrono::steady_clock::now();
        bool reload = signal == SIGHUP;
        if (reload || now >= nextFileCheck) {
            reload = settings.changed() || reload;
            nextFileCheck = now + fileCheckInterval;
        }
        if (reload)
            process.reload();
        const bool signaled = signal > 0 && signal != SIGHUP;
        if (signaled && deadline) {
            result.reason = stop_reason::secondSignal;
            break;
        }
        if (signaled) {
            deadline = now + drainLimit;
            process.drain();
        }
        if (deadline && now >= *deadline) {
            result.reason = stop_reason::drainLimit;
            break;
        }
    }
    if (result.reason != stop_reason::drained)
        result.cutOff = process.remainingWork();
    process.stop();
    return result;
}

} // namespace oriolehold::daemon
