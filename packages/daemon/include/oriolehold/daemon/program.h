#pragma once

#include "oriolehold/daemon/managed_process.h"
#include "oriolehold/runtime/command_line.h"
#include "oriolehold/runtime/settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

// Common main() of the daemons: command line, settings, logging and process life cycle.

namespace oriolehold::daemon {

// Exit codes in addition to those of runtime/command_line.h.
inline constexpr int exitSuccess = 0;
inline constexpr int exitStartFailed = 4; // for example an address in use
inline constexpr int exitCutOff = 5;      // the drain limit or a second signal cut off work

template<typename Settings>
struct program
{
    std::string_view name; // of the executable
    std::function<boost::leaf::result<Settings>(const std::string &file)> load;
    // Validates the strategy names (scheduler, balancing policy), which only the daemon can check.
    std::function<std::optional<runtime::settings_error>(const Settings &)> checkStrategyNames;
    std::function<std::unique_ptr<managed_process>(const Settings &)> create;
};

// Logs a settings error and returns its exit code.
int reportSettingsError(const runtime::settings_error &error, const std::string &file);
// Logs that the settings are valid and returns exitSuccess; for --check.
int reportSettingsValid(const std::string &file);
// Creates the process, runs it until it has stopped and returns the exit code. Exceptions of create
// and of the process are logged; the exit code is then exitStartFailed.
int runWithLogging(std::string_view name, std::chrono::seconds drainLimit,
                   const runtime::log_settings &log,
                   const std::function<std::unique_ptr<managed_process>()> &create);

template<typename Settings>
int runProgram(const program<Settings> &program, std::span<char *const> arguments)
{
    int exitCode = exitSuccess;
    const auto options = runtime::parseCommandLine(arguments, program.name, exitCode);
    if (!options)
        return exitCode;
    std::optional<runtime::settings_error> error;
    const std::optional<Settings> settings = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<Settings>> {
                BOOST_LEAF_AUTO(loaded, program.load(options->config));
                error = program.checkStrategyNames(loaded);
                return std::optional<Settings>(std::move(loaded));
            },
            [&](const runtime::settings_error &reason) {
                error = reason;
                return std::optional<Settings>();
            },
            [&] {
                error = runtime::settings_error { {}, "a readable settings file" };
                return std::optional<Settings>();
            });
    if (error)
        return reportSettingsError(*error, options->config);
    if (options->check)
        return reportSettingsValid(options->config);
    runtime::log_settings log = settings->log;
    if (!options->logLevel.empty())
        log.level = options->logLevel;
    return runWithLogging(program.name, settings->drainLimit, log,
                          [&] { return program.create(*settings); });
}

} // namespace oriolehold::daemon
