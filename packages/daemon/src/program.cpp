#include "oriolehold/daemon/program.h"

#include "oriolehold/runtime/log_events.h"

#include <malloc.h>

#include <exception>

namespace oriolehold::daemon {

namespace {

using runtime::log_event;

// Fixed mmap threshold of malloc: blocks of at least this size return to the system when they are
// freed. Otherwise the C library raises the threshold to the size of the largest freed document and
// keeps such blocks: 30 updates of a 0.77 MB document grew the entry daemon from 23 to 35 MiB.
constexpr int mmapThresholdBytes = 128 * 1024;

int reportStop(std::string_view name, const stop_result &result)
{
    if (result.reason == stop_reason::secondSignal)
        runtime::log(log_event::secondSignal,
                     { { "program", name }, { "cut_off", result.cutOff } });
    if (result.reason == stop_reason::drainLimit)
        runtime::log(log_event::drainCutOff, { { "program", name }, { "cut_off", result.cutOff } });
    if (result.reason == stop_reason::drained)
        runtime::log(log_event::drainFinished, { { "program", name } });
    runtime::log(log_event::processStop, { { "program", name } });
    return result.reason == stop_reason::drained ? exitSuccess : exitCutOff;
}

} // namespace

int reportSettingsError(const runtime::settings_error &error, const std::string &file)
{
    runtime::log(log_event::settingsInvalid,
                 { { "file", file }, { "path", error.path }, { "expected", error.expected } });
    runtime::stopLogging();
    return runtime::exitInvalidSettings;
}

int reportSettingsValid(const std::string &file)
{
    runtime::log(log_event::settingsValid, { { "file", file } });
    runtime::stopLogging();
    return exitSuccess;
}

int runWithLogging(std::string_view name, std::chrono::seconds drainLimit,
                   const runtime::log_settings &log,
                   const std::function<std::unique_ptr<managed_process>()> &create)
{
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    blockHandledSignals();
    runtime::initLogging(log);
    runtime::log(log_event::processStart, { { "program", name } });
    int exitCode = exitStartFailed;
    try {
        const std::unique_ptr<managed_process> process = create();
        exitCode = reportStop(name, runUntilStopped(*process, drainLimit));
    } catch (const std::exception &error) {
        runtime::log(log_event::internalError,
                     { { "program", name }, { "reason", std::string_view(error.what()) } });
    }
    runtime::stopLogging();
    return exitCode;
}

} // namespace oriolehold::daemon
