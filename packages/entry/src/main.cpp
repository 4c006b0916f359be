#include "oriolehold/daemon/program.h"
#include "oriolehold/entry/entry_daemon.h"
#include "oriolehold/entry/flow_entry_daemon.h"
#include "oriolehold/platform_adapter/configuration_check.h"
#include "oriolehold/platform_adapter/platform_packet_codec.h"
#include "oriolehold/platform_adapter/store_client.h"
#include "oriolehold/runtime/command_line.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

using namespace oriolehold;

namespace {

int runFlows(std::span<char *const> arguments)
{
    static const platform_adapter::platform_packet_codec codec;
    const daemon::program<runtime::flow_settings> program {
        "oriolehold-entry",
        runtime::loadFlowEntrySettings,
        [](const runtime::flow_settings &) { return std::optional<runtime::settings_error>(); },
        [](const runtime::flow_settings &settings) -> std::unique_ptr<daemon::managed_process> {
            return std::make_unique<entry::flow_entry_daemon>(
                    settings, codec,
                    [evacuation = settings.evacuation](const core::endpoint &store,
                                                       const std::atomic<bool> &stopped) {
                        return std::make_unique<platform_adapter::store_client>(
                                store, stopped,
                                platform_adapter::store_client_options { evacuation });
                    });
        },
    };
    return daemon::runProgram(program, arguments);
}

// Largest file that is read. The store's answers and the configuration are smaller.
constexpr std::size_t maxFileSize = std::size_t { 16 } * 1024 * 1024;

struct check_command
{
    std::string configuration;
    std::string inForce;   // empty: none
    std::string upstreams; // empty: none
    platform_adapter::check_options options;
    bool json = false;
};

// Returns an empty optional when the process must exit with exitCode.
std::optional<check_command> parseCheckCommand(std::span<char *const> arguments, int &exitCode)
{
    constexpr unsigned longestLife = 24 * 60 * 60; // seconds; times in a configuration end there
    const std::string name = "oriolehold-entry check";
    std::vector<std::string> texts(arguments.begin(), arguments.end());
    texts.front() = name;
    try {
        TCLAP::CmdLine parser(
                "Checks a configuration before it is published. Exit status: 0 clean, "
                "1 warnings, 2 errors",
                ' ', "");
        parser.setExceptionHandling(false);
        TCLAP::UnlabeledValueArg<std::string> configuration(
                "FILE", "Configuration in the published form", true, "", "FILE", parser);
        TCLAP::ValueArg<std::string> inForce(
                "", "against", "Configuration in force to compare with", false, "", "FILE", parser);
        TCLAP::ValueArg<std::string> upstreams(
                "", "upstreams", "The store's answer to a range read of the upstreams", false, "",
                "FILE", parser);
        TCLAP::ValueArg<unsigned> flowLife("", "flow-life",
                                           "Longest life of a flow in seconds (default: 60)", false,
                                           60, "SECONDS", parser);
        TCLAP::SwitchArg json("", "json", "Print the findings as JSON", parser);
        parser.parse(texts);
        if (flowLife.getValue() == 0 || flowLife.getValue() > longestLife)
            throw TCLAP::CmdLineParseException("Expected 1 to 86400", flowLife.longID());
        return check_command { configuration.getValue(),
                               inForce.getValue(),
                               upstreams.getValue(),
                               { std::chrono::seconds { flowLife.getValue() } },
                               json.getValue() };
    } catch (const TCLAP::ExitException &exit) {
        exitCode = exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << name << ": " << error.error() << ' ' << error.argId() << "; try --help\n";
        exitCode = runtime::exitInvalidOptions;
    }
    return std::nullopt;
}

// Adds a finding, and returns an empty text, when the file cannot be read or is too large.
std::string readFile(const std::string &name, std::vector<platform_adapter::check_finding> &faults)
{
    const auto report = [&](std::string text) {
        faults.push_back({ platform_adapter::finding_level::error, name, "", 0, std::move(text) });
        return std::string();
    };
    std::ifstream file(name, std::ios::binary);
    std::string text(maxFileSize + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxFileSize)
        return report("expected at most " + std::to_string(maxFileSize) + " bytes");
    if (!file.eof())
        return report("cannot be read");
    return text;
}

int runCheck(std::span<char *const> arguments)
{
    int exitCode = 0;
    const auto command = parseCheckCommand(arguments, exitCode);
    if (!command)
        return exitCode;
    std::vector<platform_adapter::check_finding> findings;
    const std::string configuration = readFile(command->configuration, findings);
    const std::string inForce =
            command->inForce.empty() ? "" : readFile(command->inForce, findings);
    const std::string upstreams =
            command->upstreams.empty() ? "" : readFile(command->upstreams, findings);
    if (findings.empty()) {
        platform_adapter::check_documents documents { { command->configuration, configuration },
                                                      {},
                                                      {} };
        if (!command->inForce.empty())
            documents.inForce = { command->inForce, inForce };
        if (!command->upstreams.empty())
            documents.upstreams = { command->upstreams, upstreams };
        findings = platform_adapter::checkConfiguration(documents, command->options);
    }
    std::cout << (command->json ? platform_adapter::toJson(findings)
                                : platform_adapter::toText(findings));
    return platform_adapter::exitStatus(findings);
}

} // namespace

int main(int argc, char **argv)
{
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (argc > 1 && std::string_view(argv[1]) == "flows")
        return runFlows(arguments.subspan(1));
    if (argc > 1 && std::string_view(argv[1]) == "check")
        return runCheck(arguments.subspan(1));
    const daemon::program<runtime::entry_settings> program {
        "oriolehold-entry",
        runtime::loadEntrySettings,
        entry::checkStrategyNames,
        [](const runtime::entry_settings &settings) -> std::unique_ptr<daemon::managed_process> {
            return std::make_unique<entry::entry_daemon>(settings);
        },
    };
    return daemon::runProgram(program, arguments);
}
