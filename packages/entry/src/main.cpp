#include "oriolehold/entry/entry_daemon.h"

#include "oriolehold/daemon/main_program.h"

using namespace oriolehold;

int main(int argc, char **argv)
{
    const daemon::program<platform::entry_settings> program {
        "oriolehold-entry",
        platform::loadEntrySettings,
        entry::checkNames,
        [](const platform::entry_settings &settings) -> std::unique_ptr<daemon::managed_process> {
            return std::make_unique<entry::entry_daemon>(settings);
        },
    };
    return daemon::runProgram(program, { argv, static_cast<std::size_t>(argc) });
}
