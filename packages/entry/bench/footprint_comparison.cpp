#include "child_process.h"
#include "goal_document.h"
#include "slope_table.h"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <array>
#include <memory>
#include <thread>

// Measures memory and idle processor time of both daemons as processes, over the size of the
// document and over the number of listeners of the entry daemon.

namespace {

using namespace oriolehold;
using namespace oriolehold::capacity;
using namespace std::chrono_literals;

constexpr auto startupTime = 2s;
constexpr auto idlePeriod = 3s;
constexpr auto changeInterval = 1s;
constexpr int changeCount = 4;

struct program_paths
{
    std::string entry;
    std::string agent;
    std::string platform;
};

struct footprint
{
    double resident = 0.0; // KB
    double peak = 0.0;     // KB
    double idle = 0.0;     // percent of a core
    double change = 0.0;   // milliseconds of processor time per change
};

void publish(const std::filesystem::path &directory, const std::string &text)
{
    writeFile(directory / "configuration.new", text);
    std::filesystem::rename(directory / "configuration.new", directory / "configuration.json");
}

void measure(const std::filesystem::path &directory, core::configuration_content content,
             const std::vector<const child_process *> &daemons, std::span<footprint> results)
{
    std::this_thread::sleep_for(startupTime);
    std::vector<double> before(daemons.size());
    const auto mark = [&] {
        for (std::size_t i = 0; i < daemons.size(); ++i)
            before[i] = daemons[i]->processorSeconds();
    };
    mark();
    std::this_thread::sleep_for(idlePeriod);
    for (std::size_t i = 0; i < daemons.size(); ++i)
        results[i].idle = (daemons[i]->processorSeconds() - before[i])
                / std::chrono::duration<double>(idlePeriod).count() * 100.0;
    mark();
    for (int i = 0; i < changeCount; ++i) {
        ++content.generation;
        publish(directory, renderCompact(content));
        std::this_thread::sleep_for(changeInterval);
    }
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        const double used = daemons[i]->processorSeconds() - before[i];
        const double idle = results[i].idle / 100.0
                * std::chrono::duration<double>(changeInterval).count() * changeCount;
        results[i].change = (used - idle) / changeCount * 1e3;
        results[i].resident = daemons[i]->statusKilobytes("VmRSS");
        results[i].peak = daemons[i]->statusKilobytes("VmHWM");
    }
}

nlohmann::json commonSettings(const core::endpoint &envelopes, const core::endpoint &platform)
{
    return { { "zone", "region-1-zone-1" },
             { "envelope_address", core::toString(envelopes) },
             { "platform", core::toString(platform) },
             { "admin", core::toString(freeAddress(SOCK_STREAM)) },
             { "log", { { "level", "error" } } } };
}

// Runs both daemons; returns the footprints of entry and agent, in this order.
std::array<footprint, 2> run(const program_paths &programs, core::configuration_content content,
                             std::size_t listeners)
{
    const temporary_directory directory;
    const core::endpoint platform = freeAddress(SOCK_STREAM);
    content.entries.front().address = freeAddress(SOCK_DGRAM);
    content.upstreams.front().agent = freeAddress(SOCK_DGRAM);
    publish(directory.path(), renderCompact(content));
    nlohmann::json entry = commonSettings(content.entries.front().address, platform);
    entry["id"] = core::toInteger(content.entries.front().id);
    entry["traffic_threads"] = 1;
    for (std::size_t i = 0; i < listeners; ++i)
        entry["listeners"].push_back(
                { { "service", core::toInteger(content.services[i].id) },
                  { "address", core::toString(content.services[i].address) } });
    writeFile(directory.path() / "entry.json", entry.dump());
    nlohmann::json agent = commonSettings(content.upstreams.front().agent, platform);
    agent["id"] = core::toInteger(content.upstreams.front().id);
    agent["upstream"] = core::toString(freeAddress(SOCK_DGRAM));
    writeFile(directory.path() / "agent.json", agent.dump());

    const child_process platformServer([&] {
        execute({ programs.platform, "--listen", core::toString(platform), "--directory",
                  directory.path().string() });
    });
    std::this_thread::sleep_for(300ms);
    const child_process entryDaemon([&] {
        execute({ programs.entry, "--config", (directory.path() / "entry.json").string() });
    });
    const child_process agentDaemon([&] {
        execute({ programs.agent, "--config", (directory.path() / "agent.json").string() });
    });
    std::array<footprint, 2> results;
    measure(directory.path(), std::move(content), { &entryDaemon, &agentDaemon }, results);
    return results;
}

void addRow(slope_table &table, std::size_t x, const footprint &values)
{
    table.add(static_cast<double>(x),
              std::array { values.resident, values.peak, values.idle, values.change });
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Measures memory and idle processor time of the daemons");
    TCLAP::ValueArg<std::string> entry("", "entry", "Entry daemon", true, "", "FILE", command);
    TCLAP::ValueArg<std::string> agent("", "agent", "Agent daemon", true, "", "FILE", command);
    TCLAP::ValueArg<std::string> platform("", "platform", "Platform stand-in", true, "", "FILE",
                                          command);
    command.parse(argc, argv);
    const program_paths programs { entry.getValue(), agent.getValue(), platform.getValue() };
    const std::vector<std::string_view> quantities { "resident, KB", "peak resident, KB",
                                                     "idle, % of a core",
                                                     "processor time per change, ms" };
    slope_table entries("Entry daemon over upstreams (540 services, 620 entries, 1 listener)",
                        "upstreams", quantities);
    slope_table agents("Agent daemon over upstreams (540 services, 620 entries)", "upstreams",
                       quantities);
    for (const std::size_t upstreams : { 10, 1200, 2400, 3600 }) {
        const auto results = run(programs, makeContent(upstreams, goalServices, goalEntries), 1);
        addRow(entries, upstreams, results[0]);
        addRow(agents, upstreams, results[1]);
    }
    entries.print();
    agents.print();
    slope_table listeners("Entry daemon over listeners (goal document)", "listeners", quantities);
    for (const std::size_t count : { 1, 135, 270, 540 })
        addRow(listeners, count,
               run(programs, makeContent(goalUpstreams, goalServices, goalEntries), count)[0]);
    listeners.print();
    return 0;
}
