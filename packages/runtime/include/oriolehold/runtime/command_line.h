#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

// Command-line options of the daemons.

namespace oriolehold::runtime {

// Exit codes of the daemons for invalid options and settings.
inline constexpr int exitInvalidOptions = 2;
inline constexpr int exitInvalidSettings = 3;

struct command_line
{
    std::string config;   // settings file
    bool check = false;   // check the settings file and exit
    std::string logLevel; // overrides the settings file unless empty
};

// Parses the arguments of main(), including the program name. Returns an empty optional when the
// process must exit with exitCode: after --help or --version, or because an option is invalid.
std::optional<command_line> parseCommandLine(std::span<char *const> arguments,
                                             std::string_view program, int &exitCode);

} // namespace oriolehold::runtime
