#include "load_generator.h"

#include <csignal>
#include <cstdio>
#include <sstream>

#include <tclap/CmdLine.h>

// Stand-in for the callers: many CoAP clients in one thread. SIGUSR1 ends the load early: nothing
// new starts, and the process exits when all orders and guides have finished. SIGTERM and SIGINT
// stop the load without waiting; unfinished orders and guides are then not recorded.

namespace {

using namespace oriolehold::standins;

// Time to wait for responses to the deregistrations; covers one retransmission by libcoap.
constexpr std::int64_t deregistrationWaitUs = 4'000'000;

volatile std::sig_atomic_t stopRequested = 0;
volatile std::sig_atomic_t endOfLoadRequested = 0;

struct caller_options
{
    load_options load;
    std::string records;
    std::int64_t ackTimeoutMs = 2000;
};

// Parses "name=address,name=address".
std::map<std::string, std::string> parsePairs(const std::string &text)
{
    std::map<std::string, std::string> result;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto separator = item.find('=');
        if (separator == std::string::npos)
            throw std::runtime_error("expected name=address: " + item);
        result[item.substr(0, separator)] = item.substr(separator + 1);
    }
    return result;
}

// Parses "factor,start,length", times in seconds; an empty text means no surge.
surge parseSurge(const std::string &text)
{
    surge result;
    if (!text.empty()
        && std::sscanf(text.c_str(), "%lf,%lf,%lf", &result.factor, &result.startSeconds,
                       &result.lengthSeconds)
                != 3)
        throw std::runtime_error("expected factor,start,length: " + text);
    return result;
}

deployment_names namesOf(const std::string &deployment)
{
    if (deployment == "manao")
        return { "orders", "catalog", "orders", "stock", "guides" };
    if (deployment == "association")
        return { "inspections", "reports", "filings", "readings", "reports" };
    throw std::runtime_error("unknown deployment: " + deployment);
}

caller_options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Many CoAP clients that order, download and observe");
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<std::int64_t>;
    using real = TCLAP::ValueArg<double>;
    text map("", "service-map", "address of each service", true, "", "name=ip:port,...", line);
    text deployment("", "deployment", "manao or association", false, "manao", "name", line);
    number callers("", "callers", "simulated callers", false, 100, "count", line);
    number feeds("", "feeds", "observed feeds", false, 0, "count", line);
    real orders("", "orders-per-second", "rate of orders", false, 0, "rate", line);
    real guides("", "guides-per-second", "rate of guides", false, 0, "rate", line);
    number guideBytes("", "guide-bytes", "size of a guide", false, 32'768, "bytes", line);
    real seconds("", "seconds", "time in which work starts", false, 10, "seconds", line);
    number seed("", "seed", "seed of the random generator", false, 1, "seed", line);
    text records("", "records", "file for the records", false, "", "file", line);
    number deadline("", "deadline-ms", "deadline of orders", false, 2000, "ms", line);
    number guideDeadline("", "guide-deadline-ms", "deadline of guides", false, 10'000, "ms", line);
    number work("", "work-us", "mean work of an order at strength 1", false, 20'000, "us", line);
    number guideWork("", "guide-work-us", "mean work of a guide", false, 20'000, "us", line);
    real stragglers("", "straggler-share", "share of long orders", false, 0, "share", line);
    real stragglerFactor("", "straggler-factor", "work of long orders", false, 100, "factor", line);
    text burst("", "burst", "surge of demand", false, "", "factor,start,length", line);
    TCLAP::SwitchArg duplicates("", "duplicate-orders", "send each order packet twice", line);
    real cancels("", "cancel-share", "share of orders and guides that callers cancel", false, 0,
                 "share", line);
    number retries("", "retries", "new orders after a refusal", false, 0, "count", line);
    number ackTimeout("", "ack-timeout-ms", "ACK_TIMEOUT (RFC 7252)", false, 2000, "ms", line);
    line.parse(argc, argv);

    caller_options options;
    options.records = records.getValue();
    options.ackTimeoutMs = ackTimeout.getValue();
    load_options &load = options.load;
    load.names = namesOf(deployment.getValue());
    load.addresses = parsePairs(map.getValue());
    load.callers = static_cast<std::size_t>(callers.getValue());
    load.feeds = static_cast<std::size_t>(feeds.getValue());
    load.ordersPerSecond = orders.getValue();
    load.guidesPerSecond = guides.getValue();
    load.guideBytes = static_cast<std::size_t>(guideBytes.getValue());
    load.seconds = seconds.getValue();
    load.seed = static_cast<std::uint64_t>(seed.getValue());
    load.deadlineMs = deadline.getValue();
    load.guideDeadlineMs = guideDeadline.getValue();
    load.workUs = work.getValue();
    load.guideWorkUs = guideWork.getValue();
    load.stragglerShare = stragglers.getValue();
    load.stragglerFactor = stragglerFactor.getValue();
    load.burst = parseSurge(burst.getValue());
    load.duplicateOrders = duplicates.getValue();
    load.cancelShare = cancels.getValue();
    load.retries = static_cast<int>(retries.getValue());
    return options;
}

void runLoad(const caller_options &options, coap_context_t *context)
{
    record_file records(options.records);
    load_generator *generator = nullptr;
    exchange_runner runner(context, options.ackTimeoutMs,
                           [&](const exchange &item, std::int64_t nowUs) {
                               records.append(item.record(nowUs));
                               const auto *refused = dynamic_cast<const order *>(&item);
                               if (refused != nullptr && refused->refused())
                                   generator->retryRefused(*refused, nowUs);
                           });
    load_generator load(options.load, runner);
    generator = &load;

    std::int64_t endUs = unixMicroseconds() + static_cast<std::int64_t>(options.load.seconds * 1e6);
    // Feeds don't finish by themselves; the load ends when only feeds are left.
    while (stopRequested == 0
           && (unixMicroseconds() < endUs || runner.running() > options.load.feeds)) {
        if (endOfLoadRequested != 0 && endUs > unixMicroseconds()) {
            endUs = unixMicroseconds();
            load.end(endUs);
        }
        load.advance(unixMicroseconds());
        const std::int64_t nextUs = load.nextTimer();
        runner.run(nextUs > unixMicroseconds() ? nextUs : unixMicroseconds() + 10'000);
    }
    const std::int64_t nowUs = unixMicroseconds();
    runner.forEach([&](exchange &item) {
        if (auto *observed = dynamic_cast<feed *>(&item)) {
            records.append(observed->record(nowUs));
            observed->deregister();
        }
    });
    while (unixMicroseconds() < nowUs + deregistrationWaitUs)
        runner.run(nowUs + deregistrationWaitUs);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const caller_options options = parseOptions(argc, argv);
        raiseFileLimit();
        std::signal(SIGTERM, [](int) { stopRequested = 1; });
        std::signal(SIGINT, [](int) { stopRequested = 1; });
        std::signal(SIGUSR1, [](int) { endOfLoadRequested = 1; });
        coap_startup();
        coap_set_log_level(LOG_CRIT);
        coap_context_t *context = coap_new_context(nullptr);
        runLoad(options, context);
        coap_free_context(context);
        coap_cleanup();
        return 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "standin-caller: %s\n", error.what());
        return 2;
    }
}
