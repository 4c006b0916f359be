#include "oriolehold/flow/entry_balancer.h"
#include "oriolehold/platform_adapter/platform_packet_codec.h"
#include "oriolehold/testing/allocation_counter.h"
#include "oriolehold/wire/flow_codec.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

// Measures the cost of the entry instance's decisions per packet and per flow, over the numbers of
// open flows and of upstreams.

namespace {

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;

constexpr base::time_point now { 1'800'000'000s };
constexpr base::endpoint service { 0xc6120001, 443 };
constexpr std::uint32_t firstAgent = 0x0a000001;
// The maximum that one claim holds.
constexpr std::uint32_t flowsPerClaim = maxClaimedFlows;

class counting_output final : public entry_output
{
public:
    void sendToAgent(std::uint32_t, base::byte_view packet) override { bytes += packet.size(); }
    void sendToClient(std::uint32_t, base::byte_view packet) override { bytes += packet.size(); }
    void sendMessage(std::uint32_t, const peer_message &) override { }

    std::size_t bytes = 0;
};

class null_observer final : public flow_observer
{
public:
    void decisionMade(const flow_decision &) override { }
    void directoryChanged(const directory_change &) override { }
    void routesChanged(const flow_configuration &) override { }
};

base::endpoint clientOf(std::uint32_t flowNumber)
{
    return { 0x64400000 + flowNumber / 1000, static_cast<std::uint16_t>(1024 + flowNumber % 1000) };
}

// An entry instance with one service and flows that its agents have claimed.
class flow_bench
{
public:
    flow_bench(std::uint32_t upstreams, std::uint32_t flows) : m_upstreams(upstreams)
    {
        flow_configuration configuration;
        configuration.version = 1;
        configuration.routes = { { service, { { "orders", 1 } }, 1, 100ms, 1500ms } };
        upstream_list list;
        list.revision = { 1, 1 };
        for (std::uint32_t i = 0; i < upstreams; ++i)
            list.upstreams.push_back({ std::to_string(i),
                                       "orders",
                                       { firstAgent + i, 80 },
                                       "zone",
                                       2,
                                       upstream_phase::ready,
                                       {},
                                       1 });
        m_balancer.finishRead(configuration, list, now, now);
        for (std::uint32_t i = 0; i < upstreams; ++i)
            m_balancer.receiveMessage(firstAgent + i, load_report { 1, 1, 1000, 10, 13ms, true },
                                      now);
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        for (std::uint32_t first = 0; first < flows; first += flowsPerClaim) {
            flow_claim claim;
            for (std::uint32_t i = first; i < std::min(first + flowsPerClaim, flows); ++i)
                claim.flows.push_back({ clientOf(i), service });
            m_balancer.receiveMessage(firstAgent + first / flowsPerClaim % upstreams, claim, now);
        }
        m_flowBytes = mallinfo2().uordblks + mallinfo2().hblkhd - before;
    }

    static base::byte_vector packetOf(std::uint32_t flowNumber, bool opens)
    {
        base::byte_vector packet(platform_adapter::platform_packet_codec::headerSize, 0);
        const base::endpoint client = clientOf(flowNumber);
        constexpr std::uint8_t synFlag = 1;
        constexpr std::uint8_t ackFlag = 32;
        packet[0] = opens ? synFlag : ackFlag;
        const auto put = [&](std::size_t at, std::uint32_t value, int size) {
            for (int i = 0; i < size; ++i)
                packet[at + i] = static_cast<std::uint8_t>(value >> 8 * (size - 1 - i));
        };
        put(4, client.port, 2);
        put(6, service.address, 4);
        put(10, client.address, 4);
        put(14, service.port, 2);
        return packet;
    }

    entry_balancer &balancer() { return m_balancer; }
    std::size_t flowBytes() const { return m_flowBytes; }
    const counting_output &output() const { return m_output; }

private:
    std::uint32_t m_upstreams;
    platform_adapter::platform_packet_codec m_codec;
    wire::flow_document_codec m_documents;
    base::seeded_random m_random { 1 };
    expected_time_policy m_policy { m_random };
    counting_output m_output;
    null_observer m_observer;
    entry_balancer m_balancer { { 1, "zone", {} }, m_codec,  m_documents,
                                m_policy,          m_output, m_observer };
    std::size_t m_flowBytes = 0;
};

// Argument: open flows.
void packetOfAKnownFlow(benchmark::State &state)
{
    const auto flows = static_cast<std::uint32_t>(state.range(0));
    flow_bench bench(10, flows);
    constexpr int distinctPackets = 4096;
    std::vector<base::byte_vector> packets;
    packets.reserve(distinctPackets);
    base::seeded_random random { 2 };
    for (int i = 0; i < distinctPackets; ++i)
        packets.push_back(
                flow_bench::packetOf(static_cast<std::uint32_t>(random.below(flows)), false));
    bench.balancer().receivePacket(packets.front(), 0, now); // sizes the scratch buffer
    const std::uint64_t before = allocations;
    std::size_t next = 0;
    for (auto _ : state)
        bench.balancer().receivePacket(packets[next++ % packets.size()], 0, now);
    const auto packetCount = static_cast<double>(state.iterations());
    state.counters["allocations_per_packet"] =
            static_cast<double>(allocations - before) / packetCount;
    state.counters["bytes_per_flow"] = static_cast<double>(bench.flowBytes()) / flows;
    state.counters["known"] = static_cast<double>(bench.balancer().counters().knownFlow)
            / static_cast<double>(bench.balancer().counters().packets);
}
BENCHMARK(packetOfAKnownFlow)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

// Argument: upstreams of the service.
void openingPacket(benchmark::State &state)
{
    flow_bench bench(static_cast<std::uint32_t>(state.range(0)), 0);
    std::uint32_t flowNumber = 0;
    for (auto _ : state)
        bench.balancer().receivePacket(flow_bench::packetOf(flowNumber++, true), 0, now);
}
BENCHMARK(openingPacket)->Arg(10)->Arg(120)->Arg(1200)->Arg(3600);

// Search for the owner of one unknown flow, from the packet that starts it to the owner's claim.
// Argument: upstreams of the service. Probes are limited per packet, so one packet does not probe
// all upstreams of a large service.
void searchOfALostFlow(benchmark::State &state)
{
    const auto upstreams = static_cast<std::uint32_t>(state.range(0));
    flow_bench bench(upstreams, 0);
    std::uint32_t flowNumber = 0;
    for (auto _ : state) {
        bench.balancer().receivePacket(flow_bench::packetOf(flowNumber, false), 0, now);
        bench.balancer().receiveMessage(firstAgent + flowNumber % upstreams,
                                        flow_claim { { { clientOf(flowNumber), service } } }, now);
        ++flowNumber;
    }
    state.counters["probes_per_search"] = static_cast<double>(bench.balancer().counters().probes)
            / static_cast<double>(state.iterations());
}
BENCHMARK(searchOfALostFlow)->Arg(10)->Arg(120)->Arg(1200)->Arg(3600);

} // namespace
