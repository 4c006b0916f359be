#include "fabric.h"

#include <sys/signalfd.h>

#include <csignal>
#include <cstdio>

#include <tclap/CmdLine.h>

// Stand-in for the network between callers and entry instances. On SIGTERM or SIGINT, it prints its
// counters as one line of JSON and exits.

namespace {

using namespace oriolehold::standins;

fabric_options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Forwards each caller packet to a random entry instance");
    using number = TCLAP::ValueArg<std::int64_t>;
    using real = TCLAP::ValueArg<double>;
    TCLAP::ValueArg<std::string> map("", "map", "services and entries", true, "", "file", line);
    number seed("", "seed", "seed of the random generator", false, 1, "seed", line);
    number delay("", "delay-us", "one-way delay", false, 0, "microseconds", line);
    real loss("", "loss", "probability of loss", false, 0, "share", line);
    real duplicate("", "duplicate", "probability of duplication", false, 0, "share", line);
    real reorder("", "reorder", "probability of a longer delay", false, 0, "share", line);
    line.parse(argc, argv);

    fabric_options options;
    options.mapPath = map.getValue();
    options.seed = static_cast<std::uint64_t>(seed.getValue());
    options.delayUs = delay.getValue();
    options.loss = loss.getValue();
    options.duplicate = duplicate.getValue();
    options.reorder = reorder.getValue();
    return options;
}

int openSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const fabric_options options = parseOptions(argc, argv);
        raiseFileLimit();
        fabric network(options);
        network.run(openSignals());
        std::printf("%s\n", network.counters().dump().c_str());
        return 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "standin-fabric: %s\n", error.what());
        return 2;
    }
}
