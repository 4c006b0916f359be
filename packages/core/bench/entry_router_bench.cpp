#include "oriolehold/core/entry_router.h"

#include "oriolehold/coap/message.h"
#include "oriolehold/core/invariant.h"
#include "oriolehold/core/least_expected_wait_policy.h"
#include "oriolehold/core/power_of_two_policy.h"
#include "oriolehold/core/rendezvous.h"
#include "oriolehold/core/smooth_weighted_policy.h"
#include "oriolehold/core/weighted_random_policy.h"
#include "oriolehold/testing/allocation_counter.h"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace {

using namespace oriolehold;
using namespace oriolehold::core;
using namespace std::chrono_literals;

constexpr time_point now { 1'800'000'000s };
constexpr std::size_t upstreamsPerService = 10;
constexpr std::size_t packetSize = 64;

configuration_content makeContent(std::size_t upstreams)
{
    configuration_content content;
    content.generation = 1;
    content.keys = { { 1, { 1, 2, 3 } }, { 2, { 4, 5, 6 } } };
    content.signingKey = 1;
    request_class stock;
    stock.name = "stock";
    stock.path = "stock";
    for (std::size_t i = 0; i < upstreams; ++i) {
        const auto serviceNumber = static_cast<std::uint16_t>(i / upstreamsPerService);
        if (i % upstreamsPerService == 0) {
            service added;
            added.id = service_id { serviceNumber };
            added.address = { 0x7f000001, static_cast<std::uint16_t>(10'000 + serviceNumber) };
            added.classes = { stock };
            content.services.push_back(added);
        }
        upstream added;
        added.id = upstream_id { static_cast<std::uint16_t>(i) };
        added.service = service_id { serviceNumber };
        added.index = static_cast<std::uint8_t>(i % upstreamsPerService);
        added.agent = { 0x7f000001, static_cast<std::uint16_t>(20'000 + i) };
        added.strength = 1.0 + static_cast<double>(i % 4);
        added.slots = 2;
        content.upstreams.push_back(added);
    }
    return content;
}

struct prepared_packet
{
    endpoint caller;
    service_id service {};
    std::array<std::uint8_t, packetSize> bytes {};
    std::uint8_t size = 0;

    byte_view view() const { return byte_view(bytes).first(size); }
};

prepared_packet preparePacket(const endpoint &caller, service_id service, byte_view echo)
{
    const std::array<std::uint8_t, 4> token { 1, 2, 3, 4 };
    coap::message_builder builder(coap::message_type::confirmable, coap::message_code::get, 7,
                                  token);
    builder.option(coap::option_number::uriPath, "stock");
    if (!echo.empty())
        builder.option(coap::option_number::echo, echo);
    prepared_packet packet;
    packet.caller = caller;
    packet.service = service;
    packet.size = static_cast<std::uint8_t>(builder.bytes().size());
    std::ranges::copy(builder.bytes(), packet.bytes.begin());
    return packet;
}

// One packet per caller, each of an established flow with its own token.
std::vector<prepared_packet> establishedPackets(const configuration_content &content,
                                                std::size_t callers)
{
    const flow_token_codec codec(content);
    seeded_random random(1);
    std::vector<prepared_packet> packets;
    packets.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i) {
        const upstream &owner = content.upstreams[random.below(content.upstreams.size())];
        const endpoint caller { static_cast<std::uint32_t>(random.next()), 5683 };
        const flow_token token { owner.service, owner.id, owner.agent, {}, unixSeconds(now), i };
        packets.push_back(preparePacket(caller, owner.service, codec.seal(token, caller.address)));
    }
    return packets;
}

struct router_setup
{
    router_setup(const configuration_content &content, balancing_policy &policy)
        : router({ .zone = {}, .challengesPerSecond = 1e12, .challengeBurst = 1e12 }, policy,
                 random)
    {
        router.configure(std::make_shared<configuration>(content), now);
        for (const upstream &item : content.upstreams) {
            agent_report report;
            report.upstream = item.id;
            report.incarnation = incarnation { 1 };
            report.running = 1;
            router.observe(item.agent, report, now);
        }
    }

    seeded_random random { 1 };
    entry_router router;
};

void reportAllocations(benchmark::State &state, std::uint64_t before)
{
    const auto count = static_cast<double>(allocations.load() - before);
    state.counters["allocations/packet"] = count / static_cast<double>(state.iterations());
}

// Arguments: upstreams, callers.
void establishedPacket(benchmark::State &state)
{
    const configuration_content content = makeContent(static_cast<std::size_t>(state.range(0)));
    const std::vector<prepared_packet> packets =
            establishedPackets(content, static_cast<std::size_t>(state.range(1)));
    weighted_random_policy policy;
    router_setup setup(content, policy);
    std::size_t position = 0;
    std::uint64_t forwarded = 0;
    const std::uint64_t before = allocations.load();
    for (auto _ : state) {
        const prepared_packet &packet = packets[position];
        position = position + 1 == packets.size() ? 0 : position + 1;
        const route_decision decision =
                setup.router.route(packet.caller, packet.service, packet.view(), now);
        forwarded += decision.verdict == route_verdict::forward ? 1 : 0;
    }
    reportAllocations(state, before);
    if (forwarded != static_cast<std::uint64_t>(state.iterations()))
        state.SkipWithError("a packet of an established flow was not forwarded");
}

BENCHMARK(establishedPacket)
        ->ArgNames({ "upstreams", "callers" })
        ->ArgsProduct({ { 10, 100, 1'000, 3'600 }, { 10'000, 100'000, 1'000'000 } });

template<typename Policy>
void newFlow(benchmark::State &state)
{
    const configuration_content content = makeContent(static_cast<std::size_t>(state.range(0)));
    Policy policy;
    router_setup setup(content, policy);
    const prepared_packet packet =
            preparePacket({ 0x0a000001, 5683 }, content.services.front().id, {});
    std::uint64_t replies = 0;
    // The first flow allocates the buffers of the router.
    setup.router.route(packet.caller, packet.service, packet.view(), now);
    const std::uint64_t before = allocations.load();
    for (auto _ : state) {
        const route_decision decision =
                setup.router.route(packet.caller, packet.service, packet.view(), now);
        replies += decision.verdict == route_verdict::reply ? 1 : 0;
    }
    reportAllocations(state, before);
    if (replies != static_cast<std::uint64_t>(state.iterations()))
        state.SkipWithError("a new flow was not challenged");
}

BENCHMARK(newFlow<weighted_random_policy>)->Arg(10)->Arg(3'600);
BENCHMARK(newFlow<power_of_two_policy>)->Arg(10)->Arg(3'600);
BENCHMARK(newFlow<least_expected_wait_policy>)->Arg(10)->Arg(3'600);
BENCHMARK(newFlow<smooth_weighted_policy>)->Arg(10)->Arg(3'600);

void sealToken(benchmark::State &state)
{
    const flow_token_codec codec(makeContent(10));
    flow_token token { service_id { 1 }, upstream_id { 2 }, { 3, 4 }, incarnation { 5 }, 6, 7 };
    for (auto _ : state) {
        ++token.ticket;
        benchmark::DoNotOptimize(codec.seal(token, 8));
    }
}

BENCHMARK(sealToken);

void openToken(benchmark::State &state)
{
    const flow_token_codec codec(makeContent(10));
    const flow_token token { service_id { 1 },  upstream_id { 2 }, { 3, 4 },
                             incarnation { 5 }, unixSeconds(now),  7 };
    const flow_token_bytes bytes = codec.seal(token, 8);
    for (auto _ : state)
        benchmark::DoNotOptimize(codec.open(bytes, 8, now));
}

BENCHMARK(openToken);

// Ranking of the upstreams of one service, the fallback of docs/design.md, section 3.
void rankedSearch(benchmark::State &state)
{
    const configuration_content content = makeContent(static_cast<std::size_t>(state.range(0)));
    std::vector<const upstream *> pointers;
    for (const upstream &item : content.upstreams)
        pointers.push_back(&item);
    flow_key key = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(rankUpstreams(pointers, ++key));
}

BENCHMARK(rankedSearch)->Arg(10)->Arg(250);

void plainRendezvousChoice(benchmark::State &state)
{
    const configuration_content content = makeContent(static_cast<std::size_t>(state.range(0)));
    std::vector<const upstream *> pointers;
    for (const upstream &item : content.upstreams)
        pointers.push_back(&item);
    flow_key key = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(plainRendezvous(pointers, ++key));
}

BENCHMARK(plainRendezvousChoice)->Arg(10)->Arg(250);

} // namespace
