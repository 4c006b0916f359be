#include "oriolehold/agent/agent_daemon.h"

#include "oriolehold/daemon/main_program.h"

using namespace oriolehold;

int main(int argc, char **argv)
{
    const daemon::program<platform::agent_settings> program {
        "oriolehold-agent",
        platform::loadAgentSettings,
        agent::checkNames,
        [](const platform::agent_settings &settings) -> std::unique_ptr<daemon::managed_process> {
            return std::make_unique<agent::agent_daemon>(settings);
        },
    };
    return daemon::runProgram(program, { argv, static_cast<std::size_t>(argc) });
}
