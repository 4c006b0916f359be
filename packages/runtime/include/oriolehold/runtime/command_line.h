#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

// Command line that both daemons share.

namespace oriolehold::runtime {

// Exit codes of the daemons for errors of the operator.
inline constexpr int exitWrongOptions = 2;
inline constexpr int exitWrongSettings = 3;

struct command_line
{
    std::string config;   // settings file
    bool check = false;   // only check the settings
    std::string logLevel; // overrides the settings unless empty
};

// Reads the arguments of main(), including the program's own name. Returns an empty optional when
// the process shall exit with exitCode: after --help or --version, or because an option is wrong.
std::optional<command_line> parseCommandLine(std::span<char *const> arguments,
                                             std::string_view program, int &exitCode);

} // namespace oriolehold::runtime
