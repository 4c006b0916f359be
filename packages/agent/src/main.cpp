#include "oriolehold/agent/agent_daemon.h"
#include "oriolehold/agent/flow_agent_daemon.h"
#include "oriolehold/daemon/program.h"
#include "oriolehold/platform_adapter/platform_packet_codec.h"

using namespace oriolehold;

namespace {

int runFlows(std::span<char *const> arguments)
{
    static const platform_adapter::platform_packet_codec codec;
    const daemon::program<runtime::flow_settings> program {
        "oriolehold-agent",
        runtime::loadFlowAgentSettings,
        [](const runtime::flow_settings &) { return std::optional<runtime::settings_error>(); },
        [](const runtime::flow_settings &settings) -> std::unique_ptr<daemon::managed_process> {
            return std::make_unique<agent::flow_agent_daemon>(settings, codec);
        },
    };
    return daemon::runProgram(program, arguments);
}

} // namespace

int main(int argc, char **argv)
{
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (argc > 1 && std::string_view(argv[1]) == "flows")
        return runFlows(arguments.subspan(1));
    const daemon::program<runtime::agent_settings> program {
        "oriolehold-agent",
        runtime::loadAgentSettings,
        agent::checkStrategyNames,
        [](const runtime::agent_settings &settings) -> std::unique_ptr<daemon::managed_process> {
            return std::make_unique<agent::agent_daemon>(settings);
        },
    };
    return daemon::runProgram(program, arguments);
}
