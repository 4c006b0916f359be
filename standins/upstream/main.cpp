#include "job_server.h"

#include <poll.h>
#include <sys/signalfd.h>

#include <csignal>
#include <cstdio>

#include <tclap/CmdLine.h>

// Stand-in for one upstream: a CoAP server that runs jobs on a limited number of slots.
// SIGUSR1 toggles draining. SIGTERM and SIGINT end the process when all running jobs have finished.

namespace {

using namespace oriolehold::standins;

// Must be well below maxReadGapUs, so that only a stopped or starved process exceeds that gap.
constexpr std::int64_t maxPollWaitUs = 20'000;
// Time limit for sending the last responses after the last job.
constexpr int finalFlushTimeoutMs = 200;

upstream_options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("CoAP server with a limited number of slots");
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<std::int64_t>;
    using real = TCLAP::ValueArg<double>;
    text listen("", "listen", "address to listen on", true, "", "ip:port", line);
    text service("", "service", "name of the service", false, "orders", "name", line);
    number slots("", "slots", "jobs that run in parallel", false, 2, "count", line);
    real strength("", "strength", "speed factor", false, 1.0, "factor", line);
    number connections("", "connections", "connection limit", false, 2000, "count", line);
    number coldStart("", "cold-start-ms", "time to full speed", false, 0, "ms", line);
    text records("", "records", "file for the records of jobs", false, "", "file", line);
    number seed("", "seed", "seed of the random generator", false, 1, "seed", line);
    real shed("", "shed-probability", "share of refused jobs", false, 0, "share", line);
    number feed("", "feed-interval-ms", "time between feed states", false, 1000, "ms", line);
    line.parse(argc, argv);

    upstream_options options;
    options.listen = listen.getValue();
    options.service = service.getValue();
    options.slots = static_cast<std::size_t>(slots.getValue());
    options.strength = strength.getValue();
    options.connections = static_cast<std::size_t>(connections.getValue());
    options.coldStartUs = coldStart.getValue() * 1000;
    options.records = records.getValue();
    options.seed = static_cast<std::uint64_t>(seed.getValue());
    options.shedProbability = shed.getValue();
    options.feedIntervalUs = feed.getValue() * 1000;
    return options;
}

int openSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : { SIGUSR1, SIGTERM, SIGINT })
        sigaddset(&signals, signal);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

void handleSignals(int descriptor, job_server &server, bool &stopping)
{
    signalfd_siginfo info {};
    while (read(descriptor, &info, sizeof(info)) == sizeof(info)) {
        if (info.ssi_signo == SIGUSR1) {
            server.toggleDrain();
        } else {
            server.stop();
            stopping = true;
        }
    }
}

void serve(job_server &server, coap_context_t *context, int signals)
{
    bool stopping = false;
    while (!stopping || !server.idle()) {
        const std::int64_t beforeUs = unixMicroseconds();
        const std::int64_t waitUs =
                std::clamp<std::int64_t>(server.nextTimer() - beforeUs, 0, maxPollWaitUs);
        const timespec wait { 0, waitUs * 1000 };
        pollfd descriptors[] = { { coap_context_get_coap_fd(context), POLLIN, 0 },
                                 { signals, POLLIN, 0 } };
        ppoll(descriptors, 2, &wait, nullptr);
        server.advance(unixMicroseconds());
        server.beginRead(unixMicroseconds());
        coap_io_process(context, COAP_IO_NO_WAIT);
        handleSignals(signals, server, stopping);
    }
    coap_io_process(context, finalFlushTimeoutMs);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const upstream_options options = parseOptions(argc, argv);
        raiseFileLimit();
        const int signals = openSignals();
        coap_startup();
        coap_set_log_level(LOG_CRIT);
        coap_context_t *context = coap_new_context(nullptr);
        const coap_address_t address = toCoapAddress(options.listen);
        if (coap_new_endpoint(context, &address, COAP_PROTO_UDP) == nullptr)
            throw std::runtime_error("cannot listen on " + options.listen);
        {
            job_server server(options, context);
            serve(server, context, signals);
        }
        coap_register_event_handler(context, nullptr);
        coap_free_context(context);
        coap_cleanup();
        return 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "standin-upstream: %s\n", error.what());
        return 2;
    }
}
