#include "goal_document.h"
#include "slope_table.h"

#include "oriolehold/coap/message.h"
#include "oriolehold/core/agent_core.h"
#include "oriolehold/core/balancing_policy_factory.h"
#include "oriolehold/core/entry_router.h"
#include "oriolehold/core/flow_token.h"
#include "oriolehold/core/slot_scheduler_factory.h"
#include "oriolehold/runtime/configuration_acceptor.h"
#include "oriolehold/wire/envelope.h"

#include <tclap/CmdLine.h>

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <new>

// Measures how processor time, memory and message sizes grow with upstreams, addresses, feeds,
// tickets and downloads, and prints least-squares slopes.

namespace {

std::size_t liveBytes = 0;
std::size_t peakBytes = 0;

} // namespace

// Counts heap bytes, including malloc's rounding; the program is single-threaded. Not inlined,
// because gcc then warns about a mismatch of new and free.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    void *memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr)
        throw std::bad_alloc();
    liveBytes += malloc_usable_size(memory) + sizeof(std::size_t);
    peakBytes = std::max(peakBytes, liveBytes);
    return memory;
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    if (memory != nullptr)
        liveBytes -= malloc_usable_size(memory) + sizeof(std::size_t);
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    operator delete(memory);
}

namespace {

using namespace oriolehold;
using namespace oriolehold::capacity;
using namespace std::chrono_literals;

constexpr core::time_point startTime { 1'800'000'000s };
constexpr core::incarnation agentIncarnation { 100 };
constexpr std::uint32_t firstCaller = 0xc0000000;
constexpr core::endpoint entryAddress { 0x0a010001, 7000 };
constexpr int repetitions = 5;

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Processor time of one call in seconds: the shortest of several runs, because interruptions can
// only add to it.
double shortestTime(const std::function<void()> &run)
{
    double shortest = 1e9;
    for (int i = 0; i < repetitions; ++i) {
        const double before = processorSeconds();
        run();
        shortest = std::min(shortest, processorSeconds() - before);
    }
    return shortest;
}

double toKilobytes(std::size_t bytes)
{
    return static_cast<double>(bytes) / 1000.0;
}

template<typename Value>
Value valueOrExit(boost::leaf::result<Value> result)
{
    if (!result) {
        std::fprintf(stderr, "a generated document is invalid\n");
        std::exit(1);
    }
    return std::move(*result);
}

core::configuration_content parse(std::string_view text)
{
    return valueOrExit(runtime::parseDocument(text));
}

std::vector<double> measureDocument(const core::configuration_content &content)
{
    const std::string text = renderCompact(content);
    const std::size_t indentedSize = runtime::renderDocument(content).size();
    const double parseTime = shortestTime([&] { parse(text); });
    double indexTime = 1e9;
    for (int i = 0; i < repetitions; ++i) {
        core::configuration_content copy = content;
        const double began = processorSeconds();
        const core::configuration indexed(std::move(copy));
        indexTime = std::min(indexTime, processorSeconds() - began);
    }

    const std::size_t before = liveBytes;
    peakBytes = liveBytes;
    core::configuration_content parsed = parse(text);
    const std::size_t peak = peakBytes - before;
    const auto configuration = std::make_shared<core::configuration>(std::move(parsed));
    const std::size_t held = liveBytes - before;

    const auto policy = core::makeBalancingPolicy(core::defaultBalancingPolicy);
    core::seeded_random random(1);
    double configureTime = 1e9;
    std::size_t routerBytes = 0;
    for (int i = 0; i < repetitions; ++i) {
        const std::size_t withoutRouter = liveBytes;
        core::entry_router router({}, *policy, random);
        const double began = processorSeconds();
        router.configure(configuration, startTime);
        configureTime = std::min(configureTime, processorSeconds() - began);
        routerBytes = liveBytes - withoutRouter;
    }
    return { toKilobytes(text.size()), toKilobytes(indentedSize), parseTime * 1e3,
             indexTime * 1e3,          toKilobytes(peak),         toKilobytes(held),
             configureTime * 1e3,      toKilobytes(routerBytes) };
}

const std::vector<std::string_view> documentQuantities {
    "document, KB",           "indented, KB",      "parse and check, ms",  "index, ms",
    "peak while parsing, KB", "configuration, KB", "router configure, ms", "router, KB",
};

void measureDocuments()
{
    slope_table overUpstreams("Document over upstreams (540 services, 620 entries)", "upstreams",
                              documentQuantities);
    for (const std::size_t upstreams : { 10, 540, 1200, 2400, 3600 })
        overUpstreams.add(static_cast<double>(upstreams),
                          measureDocument(makeContent(upstreams, goalServices, goalEntries)));
    overUpstreams.print();

    slope_table overServices("Document over addresses (3,600 upstreams, 620 entries)", "addresses",
                             documentQuantities);
    for (const std::size_t services : { 15, 135, 270, 405, 540 })
        overServices.add(static_cast<double>(services),
                         measureDocument(makeContent(goalUpstreams, services, goalEntries)));
    overServices.print();

    slope_table overEntries("Document over entries (3,600 upstreams, 540 services)", "entries",
                            documentQuantities);
    for (const std::size_t entries : { 10, 155, 310, 465, 620 })
        overEntries.add(static_cast<double>(entries),
                        measureDocument(makeContent(goalUpstreams, goalServices, entries)));
    overEntries.print();
}

class counting_actions final : public core::agent_actions
{
public:
    void deliver(const core::endpoint &, const core::endpoint &, core::service_id,
                 core::byte_view message) override
    {
        ++deliveries;
        deliveredBytes += message.size();
    }
    void startJob(const core::upstream_request &request) override { lastJob = request.job; }
    void cancelJob(core::job_id) override { }
    void startFeed(core::feed_id feed, const core::feed_state &) override { lastFeed = feed; }
    void stopFeed(core::feed_id) override { }
    void sendHandover(const core::endpoint &, const core::handover_message &) override { }
    void recordResult(std::string_view, core::result_code, core::duration, core::duration,
                      core::duration) override
    { }

    std::uint64_t deliveries = 0;
    std::uint64_t deliveredBytes = 0;
    core::job_id lastJob {};
    core::feed_id lastFeed {};
};

// An agent core with any number of callers; each caller uses one flow token.
class agent_harness
{
public:
    explicit agent_harness(const core::configuration_pointer &configuration)
        : m_codec(configuration->content()), m_upstream(configuration->content().upstreams.front()),
          m_scheduler(core::makeScheduler(core::defaultSchedulerName)), m_random(1),
          m_core({ .upstream = m_upstream.id, .incarnation = agentIncarnation }, m_actions,
                 *m_scheduler, m_random)
    {
        m_core.configure(configuration, startTime);
    }

    // caller is the caller's number; each caller has its own flow token.
    core::byte_vector packet(std::uint32_t caller, coap::message_code code, std::string_view path,
                             bool observe) const
    {
        core::flow_token token;
        token.service = m_upstream.service;
        token.upstream = m_upstream.id;
        token.agent = m_upstream.agent;
        token.incarnation = agentIncarnation;
        token.issuedAt = core::unixSeconds(startTime);
        token.ticket = caller;
        const auto echo = m_codec.seal(token, firstCaller + caller);
        const std::array<std::uint8_t, 4> coapToken { 1, 2, 3, 4 };
        coap::message_builder builder(coap::message_type::confirmable, code, 7, coapToken);
        if (observe)
            builder.uintOption(coap::option_number::observe, 0);
        builder.option(coap::option_number::uriPath, path);
        if (!observe && code == coap::message_code::get)
            builder.option(coap::option_number::uriQuery, "id=" + std::to_string(caller));
        builder.option(coap::option_number::echo, core::byte_view(echo));
        if (code == coap::message_code::post)
            builder.payload("two kits of size four");
        return builder.toVector();
    }

    void receive(std::uint32_t caller, core::byte_view bytes)
    {
        m_core.receive(entryAddress, { firstCaller + caller, 40000 }, m_upstream.service, bytes,
                       startTime);
    }

    void answer(core::byte_view payload)
    {
        m_core.completeJob(m_actions.lastJob,
                           { core::upstream_status::answered,
                             static_cast<std::uint8_t>(coap::message_code::content),
                             { payload.begin(), payload.end() } },
                           startTime);
    }

    core::agent_core &core() { return m_core; }
    counting_actions &actions() { return m_actions; }

private:
    core::flow_token_codec m_codec;
    const core::upstream &m_upstream;
    std::unique_ptr<core::slot_scheduler> m_scheduler;
    core::seeded_random m_random;
    counting_actions m_actions;
    core::agent_core m_core;
};

struct agent_load
{
    std::string_view title;
    coap::message_code code;
    std::string_view path;
    bool observe = false;
    std::size_t payload = 0;         // bytes of an answer or a feed's state
    std::vector<std::size_t> counts; // of flows, one measurement each
};

// Memory and processor time for count flows of the load, in the order of the table's columns.
std::vector<double> measureAgent(const core::configuration_pointer &configuration,
                                 const agent_load &load, std::size_t count)
{
    const core::byte_vector payload(load.payload, 'x');
    double shortest = 1e9;
    double notification = 1e9;
    std::size_t bytes = 0;
    std::size_t later = 0;
    std::uint64_t deliveredBytes = 0;
    std::uint32_t open = 0;
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        const auto run = std::make_unique<agent_harness>(configuration);
        std::vector<core::byte_vector> packets;
        for (std::uint32_t i = 0; i < count; ++i)
            packets.push_back(run->packet(i, load.code, load.path, load.observe));
        std::vector<core::feed_id> feeds(count);
        const std::size_t before = liveBytes;
        const double began = processorSeconds();
        for (std::uint32_t i = 0; i < count; ++i) {
            run->receive(i, packets[i]);
            if (load.observe) {
                feeds[i] = run->actions().lastFeed;
                run->core().updateFeed(feeds[i], payload, startTime);
            } else {
                run->answer(payload);
            }
        }
        shortest = std::min(shortest, processorSeconds() - began);
        bytes = liveBytes - before;
        deliveredBytes = run->actions().deliveredBytes;
        if (run->actions().deliveries != count) {
            std::fprintf(stderr, "%zu flows produced %llu answers\n", count,
                         static_cast<unsigned long long>(run->actions().deliveries));
            std::exit(1);
        }
        const double notifyBegan = processorSeconds();
        if (load.observe) {
            for (const core::feed_id feed : feeds)
                run->core().updateFeed(feed, payload, startTime + 1s);
            notification = std::min(notification, processorSeconds() - notifyBegan);
        }
        run->core().advance(startTime + 130s);
        later = liveBytes - before;
        open = run->core().report(startTime + 130s).connections;
    }
    const auto flows = static_cast<double>(count);
    return { toKilobytes(bytes),
             toKilobytes(later),
             shortest / flows * 1e6,
             load.observe ? notification / flows * 1e6 : 0.0,
             static_cast<double>(deliveredBytes) / flows,
             static_cast<double>(open) };
}

void measureAgents()
{
    const auto configuration = std::make_shared<core::configuration>(
            makeContent(goalUpstreams, goalServices, goalEntries));
    const std::vector<agent_load> loads {
        { "Agent: open feeds (64 bytes of state)",
          coap::message_code::get,
          "stock",
          true,
          64,
          { 500, 1000, 2000, 4000, 8000 } },
        { "Agent: ledger tickets (answered orders, 32 bytes of answer)",
          coap::message_code::post,
          "orders",
          false,
          32,
          { 1000, 5000, 10000, 20000, 40000 } },
        { "Agent: open downloads (each its own body of 8,192 bytes)",
          coap::message_code::get,
          "reports",
          false,
          8192,
          { 125, 250, 500, 1000, 2000 } },
    };
    for (const agent_load &load : loads) {
        slope_table table(load.title, "flows",
                          { "held, KB", "held 130 s later, KB", "request and answer, us each",
                            "notification, us each", "answer, bytes", "open 130 s later" });
        for (const std::size_t count : load.counts)
            table.add(static_cast<double>(count), measureAgent(configuration, load, count));
        table.print();
    }
    // Memory of an agent core without flows.
    const std::size_t before = liveBytes;
    const agent_harness run(configuration);
    std::printf("\nAn idle agent core holds %.0f KB besides the configuration.\n",
                toKilobytes(liveBytes - before));
}

void measureEntryPackets()
{
    constexpr std::size_t packetCount = 10'000;
    slope_table table("Entry: processor time per packet over upstreams (10 per service)",
                      "upstreams",
                      { "established packet, ns", "new flow, ns", "choice of probes, us" });
    for (const std::size_t upstreams : { 10, 120, 1200, 2400, 3600 }) {
        const core::configuration_content content = makeContent(upstreams, upstreams / 10, 0);
        const auto policy = core::makeBalancingPolicy(core::defaultBalancingPolicy);
        core::seeded_random random(1);
        core::entry_router router(
                { .zone = "region-1-zone-1", .challengesPerSecond = 1e12, .challengeBurst = 1e12 },
                *policy, random);
        router.configure(std::make_shared<core::configuration>(content), startTime);
        const core::flow_token_codec codec(content);
        struct caller_packets
        {
            core::endpoint caller;
            core::service_id service {};
            core::byte_vector established;
            core::byte_vector opening;
        };
        std::vector<caller_packets> packets;
        for (std::uint32_t i = 0; i < packetCount; ++i) {
            const core::upstream &owner = content.upstreams[random.below(upstreams)];
            core::agent_report report;
            report.upstream = owner.id;
            report.incarnation = agentIncarnation;
            router.observe(owner.agent, report, startTime);
            const core::endpoint caller { firstCaller + i, 40000 };
            const auto echo = codec.seal({ owner.service, owner.id, owner.agent, agentIncarnation,
                                           core::unixSeconds(startTime), i },
                                         caller.address);
            const std::array<std::uint8_t, 4> coapToken { 1, 2, 3, 4 };
            coap::message_builder builder(coap::message_type::confirmable, coap::message_code::get,
                                          7, coapToken);
            builder.option(coap::option_number::uriPath, "stock");
            core::byte_vector opening = builder.toVector();
            builder.option(coap::option_number::echo, core::byte_view(echo));
            packets.push_back({ caller, owner.service, builder.toVector(), std::move(opening) });
        }
        const auto timeOf = [&](core::byte_vector caller_packets::*bytes,
                                core::route_verdict expected) {
            const double seconds = shortestTime([&] {
                for (int round = 0; round < 10; ++round) {
                    for (const caller_packets &item : packets) {
                        if (router.route(item.caller, item.service, item.*bytes, startTime).verdict
                            != expected) {
                            std::fprintf(stderr, "unexpected verdict\n");
                            std::exit(1);
                        }
                    }
                }
            });
            return seconds / (10.0 * packetCount) * 1e9;
        };
        const double established =
                timeOf(&caller_packets::established, core::route_verdict::forward);
        core::time_point probeTime = startTime + 1s;
        const double probes = shortestTime([&] {
            router.probesDue(probeTime);
            probeTime += 100ms;
        });
        table.add(static_cast<double>(upstreams),
                  std::array { established,
                               timeOf(&caller_packets::opening, core::route_verdict::reply),
                               probes * 1e6 });
    }
    table.print();
}

void measureEnvelopes()
{
    constexpr int count = 20'000;
    const wire::envelope_codec codec(makeContent(1, 1, 1));
    const core::endpoint caller { firstCaller, 40000 };
    core::agent_report report;
    report.upstream = core::upstream_id { 1 };
    const auto measure = [&](const wire::message &message) {
        const core::byte_vector bytes = codec.encode(message);
        core::byte_vector reused;
        const double encode = shortestTime([&] {
            for (int i = 0; i < count; ++i)
                codec.encode(message, reused);
        });
        const double decode = shortestTime([&] {
            for (int i = 0; i < count; ++i)
                codec.decode(bytes);
        });
        return std::vector { static_cast<double>(bytes.size()), encode / count * 1e9,
                             decode / count * 1e9 };
    };
    slope_table forwards("Envelope `forward` over the caller's packet", "packet, bytes",
                         { "envelope, bytes", "encode, ns", "decode, ns" });
    slope_table deliveries("Envelope `deliver` over the agent's packet", "packet, bytes",
                           { "envelope, bytes", "encode, ns", "decode, ns" });
    for (const std::size_t size : { 16, 64, 256, 512, 1024 }) {
        const core::byte_vector packet(size, 1);
        forwards.add(static_cast<double>(size),
                     measure(wire::forward_message { caller, core::service_id { 1 }, 1, packet }));
        deliveries.add(
                static_cast<double>(size),
                measure(wire::deliver_message { caller, core::service_id { 1 }, report, packet }));
    }
    forwards.print();
    deliveries.print();
    core::handover_message offer;
    offer.feed = { caller, core::service_id { 1 }, { 1, 2, 3, 4 }, "stock", {}, 7 };
    core::handover_message accept;
    accept.step = core::handover_step::accept;
    std::printf("\n| control message | bytes | encode, ns | decode, ns |\n|---|---|---|---|\n");
    const auto print = [&](const char *name, const wire::message &message) {
        const std::vector<double> values = measure(message);
        std::printf("| %s | %.0f | %.0f | %.0f |\n", name, values[0], values[1], values[2]);
    };
    print("probe", wire::probe_message { 1 });
    print("probe_reply", wire::probe_reply_message { report });
    print("handover offer, commit", offer);
    print("handover accept, done", accept);
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Measures slopes of processor time, memory and message sizes");
    command.parse(argc, argv);
    std::printf("Processor time is the shortest of %d runs; memory is heap memory with the "
                "allocator's rounding.\n",
                repetitions);
    measureDocuments();
    measureAgents();
    measureEntryPackets();
    measureEnvelopes();
    return 0;
}
