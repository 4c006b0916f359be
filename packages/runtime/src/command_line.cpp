#include "oriolehold/runtime/command_line.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <vector>

namespace oriolehold::runtime {

std::optional<command_line> parseCommandLine(std::span<char *const> arguments,
                                             std::string_view program, int &exitCode)
{
    const std::string name(program);
    std::vector<std::string> texts { name };
    for (std::size_t i = 1; i < arguments.size(); ++i)
        texts.emplace_back(arguments[i]);
    try {
        TCLAP::CmdLine parser("Example: " + name
                                      + " --config /etc/oriolehold/settings.json --check",
                              ' ', ORIOLEHOLD_VERSION);
        parser.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> config("c", "config", "Settings file, JSON with comments",
                                            true, "", "FILE", parser);
        TCLAP::SwitchArg check("", "check", "Check the settings file and exit", parser);
        std::vector<std::string> levels { "debug", "info", "warning", "error" };
        TCLAP::ValuesConstraint<std::string> levelConstraint(levels);
        TCLAP::ValueArg<std::string> logLevel("", "log-level",
                                              "Log level; overrides the settings file", false, "",
                                              &levelConstraint, parser);
        parser.parse(texts);
        exitCode = 0;
        return command_line { config.getValue(), check.getValue(), logLevel.getValue() };
    } catch (const TCLAP::ExitException &exit) {
        exitCode = exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << name << ": " << error.error() << ' ' << error.argId() << "; try --help\n";
        exitCode = exitInvalidOptions;
    }
    return std::nullopt;
}

} // namespace oriolehold::runtime
