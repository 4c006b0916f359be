#pragma once

#include "flow_fakes.h"

#include "oriolehold/flow/entry_balancer.h"

#include <CppUTest/TestHarness.h>

#include <set>

// An entry instance with a route to the service "orders", three upstreams of it and one of
// "catalog".

namespace oriolehold::flow {

using namespace std::chrono_literals;
using instruction = packet_tag::instruction;

inline constexpr base::endpoint client { 0x64400007, 40001 };
inline constexpr base::endpoint ordersAddress { 0xc6120001, 443 };
inline constexpr base::endpoint unknownAddress { 0xc6120009, 443 };
inline constexpr std::uint32_t largeService = 49; // upstreams

inline upstream_record record(std::uint32_t machine, std::string service = "orders")
{
    upstream_record result;
    result.id = "i-" + std::to_string(machine);
    result.service = std::move(service);
    result.address = { machine, 8080 };
    result.zone = "zone-a";
    result.slots = 2;
    result.incarnation = machine;
    return result;
}

struct entry_balancer_fixture : public Utest
{
    fake_codec codec;
    fake_document_codec documents;
    base::seeded_random random { 1 };
    expected_time_policy policy { random };
    recording_entry_output output;
    recording_observer observer;
    entry_balancer balancer { { 7, "zone-a", { 99 } }, codec, documents, policy, output, observer };
    flow_configuration routes;
    upstream_list upstreams;
    std::uint64_t era = 1;
    std::uint64_t revision = 0;

    void setup() override
    {
        routes.version = 5;
        routes.routes = { { ordersAddress, { { "orders", 1 } }, 2, 100ms, 1500ms } };
        upstreams.upstreams = { record(1), record(2), record(3), record(4, "catalog") };
    }

    void publish(std::int64_t at)
    {
        upstreams.revision = { era, ++revision };
        balancer.finishRead(routes, upstreams, atMilliseconds(at), atMilliseconds(at));
    }

    packet_head packet(const base::endpoint &service = ordersAddress) const
    {
        packet_head head;
        head.source = client;
        head.destination = service;
        head.acknowledges = true;
        head.acknowledgement = 1234;
        return head;
    }
    packet_head opening(std::uint32_t copy = 0, const base::endpoint &service = ordersAddress) const
    {
        packet_head head = packet(service);
        head.opens = true;
        head.acknowledges = false;
        head.acknowledgement = copy;
        return head;
    }
    // An entry of another writer with the address of the upstream on the machine and a later start.
    static upstream_record foreignRecord(std::uint32_t machine, std::string service)
    {
        upstream_record result = record(machine, std::move(service));
        result.id = "other-writer";
        result.incarnation += 1000;
        return result;
    }
    packet_head openingWithSequence(std::uint32_t sequence, std::uint32_t copy = 0) const
    {
        packet_head head = opening(copy);
        head.sequence = sequence;
        return head;
    }
    void receive(const packet_head &head, std::int64_t at)
    {
        balancer.receivePacket(fake_codec::encode(head), 0, atMilliseconds(at));
    }
    // Returns a packet from the machine that received the last one.
    void receiveBack(const packet_head &head, instruction kind, std::int64_t at)
    {
        receiveBack(head, kind, output.toAgents.back().machine, "orders", at);
    }
    void receiveBack(packet_head head, instruction kind, std::uint32_t sender,
                     std::string_view serviceThere, std::int64_t at)
    {
        head.tag = { kind, serviceDigest(serviceThere) };
        balancer.receivePacket(fake_codec::encode(head), sender, atMilliseconds(at));
    }
    // Publishes a service whose upstreams need several rounds of probes.
    void publishLargeService(std::int64_t at)
    {
        upstreams.upstreams.clear();
        for (std::uint32_t machine = 1; machine <= largeService; ++machine)
            upstreams.upstreams.push_back(record(machine));
        publish(at);
    }
    // Publishes a route whose new flows go to "catalog", and "orders" as a service without a route.
    void publishWithFormerService(std::int64_t at)
    {
        routes.routes.front().services = { { "catalog", 1 } };
        routes.services = { "orders", "catalog" };
        publish(at);
    }
    // Publishes the large service with an agent that reports beside each upstream.
    void publishHeardService(std::int64_t at)
    {
        publishLargeService(at);
        for (std::uint32_t machine = 1; machine <= largeService; ++machine)
            balancer.receiveMessage(machine, load_report { .bootId = machine }, atMilliseconds(at));
        output.messages.clear();
    }
    // Requests to agents that probe on behalf of the instance, with the machines asked.
    std::vector<std::pair<std::uint32_t, probe_request>> relayRequests() const
    {
        std::vector<std::pair<std::uint32_t, probe_request>> requests;
        for (const auto &[machine, message] : output.messages) {
            if (const auto *request = std::get_if<probe_request>(&message))
                requests.emplace_back(machine, *request);
        }
        return requests;
    }
    std::ptrdiff_t hellos() const
    {
        return std::ranges::count_if(output.messages, [](const auto &item) {
            return std::holds_alternative<entry_hello>(item.second);
        });
    }
    std::set<std::uint32_t> probedMachines() const
    {
        std::set<std::uint32_t> machines;
        for (const sent_packet &sent : output.toAgents) {
            if (sent.head.tag.kind == instruction::probe)
                machines.insert(sent.machine);
        }
        return machines;
    }
    void denyAll(std::int64_t at)
    {
        for (const std::uint32_t machine : { 1U, 2U, 3U })
            balancer.receiveMessage(machine, flow_denial { { client, ordersAddress } },
                                    atMilliseconds(at));
    }
};

} // namespace oriolehold::flow
