#pragma once

#include "flow_fakes.h"
#include "test_values.h"

#include "oriolehold/flow/entry_balancer.h"

#include <CppUTest/TestHarness.h>

// An entry instance with a route to the service "orders", three upstreams of it and one of
// "catalog".

namespace oriolehold::flow {

using namespace std::chrono_literals;

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
    std::set<std::uint32_t> machinesWithoutAgent;

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
        hearAgents(balancer, at);
    }
    // Lets an instance hear the agents of all listed upstreams that it has not heard.
    void hearAgents(entry_balancer &instance, std::int64_t at) const
    {
        for (const upstream_record &item : upstreams.upstreams) {
            const std::uint32_t machine = item.address.address;
            const known_upstream *known = instance.directory().find(machine);
            if (known != nullptr && !known->agentHeard && !machinesWithoutAgent.contains(machine))
                instance.receiveMessage(machine, flow_denial {}, atMilliseconds(at));
        }
    }
    void publishAndTick(std::int64_t at)
    {
        publish(at);
        tick(at + 1);
    }
    // Publishes the first list, and receives a packet 10 ms later.
    void publishAndReceive(const packet_head &head)
    {
        publish(0);
        receive(head, 10);
    }
    void tick(std::int64_t at) { balancer.tick(atMilliseconds(at)); }
    // Calls tick() from first until before end.
    void tickBetween(std::int64_t first, std::int64_t end, std::int64_t interval = 5)
    {
        for (std::int64_t at = first; at < end; at += interval)
            tick(at);
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
    packet_head openingFrom(std::uint16_t port) const
    {
        packet_head head = opening();
        head.source.port = port;
        return head;
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
    // Receives packets of one flow with these sequence numbers.
    void receiveSequences(std::initializer_list<std::uint32_t> sequences, std::int64_t at,
                          std::uint16_t size = 0, std::uint16_t port = client.port)
    {
        for (const std::uint32_t sequence : sequences) {
            packet_head head = packet();
            head.source.port = port;
            head.sequence = sequence;
            head.payloadSize = size;
            receive(head, at);
        }
    }
    // Opens flows from successive ports. Returns the machines that got their opening packets.
    std::set<std::uint32_t> placeFlows(std::uint16_t count, std::int64_t at,
                                       std::uint16_t firstPort = 1)
    {
        output.toAgents.clear();
        for (std::uint16_t i = 0; i < count; ++i)
            receive(openingFrom(static_cast<std::uint16_t>(firstPort + i)), at);
        std::set<std::uint32_t> machines;
        for (const sent_packet &sent : output.toAgents)
            machines.insert(sent.machine);
        return machines;
    }
    void receiveMessage(std::uint32_t machine, const peer_message &message, std::int64_t at)
    {
        balancer.receiveMessage(machine, message, atMilliseconds(at));
    }
    void claim(std::uint32_t machine, std::int64_t at)
    {
        receiveMessage(machine, flow_claim { { clientFlow } }, at);
    }
    void deny(std::initializer_list<std::uint32_t> machines, std::int64_t at)
    {
        for (const std::uint32_t machine : machines)
            receiveMessage(machine, flow_denial { clientFlow }, at);
    }
    void announce(std::uint32_t machine, std::string_view service, std::int64_t at)
    {
        receiveMessage(machine, service_announcement { serviceDigest(service) }, at);
    }
    void report(std::initializer_list<std::uint32_t> machines, std::int64_t at,
                std::uint64_t bootId = 0)
    {
        for (const std::uint32_t machine : machines)
            receiveMessage(machine, load_report { .bootId = bootId }, at);
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
    void publishLargeService(std::int64_t at, std::uint32_t count = largeService)
    {
        upstreams.upstreams.clear();
        for (std::uint32_t machine = 1; machine <= count; ++machine)
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
    // The same with a configuration that "orders" has left.
    void publishWithoutFormerService(std::int64_t at)
    {
        routes.routes.front().services = { { "catalog", 1 } };
        routes.services = { "catalog" };
        publish(at);
    }
    // Publishes the large service with an agent that reports beside each upstream.
    void publishHeardService(std::int64_t at)
    {
        publishLargeService(at);
        for (std::uint32_t machine = 1; machine <= largeService; ++machine)
            receiveMessage(machine, load_report { .bootId = machine }, at);
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
    std::size_t hellos() const { return output.sent<entry_hello>().size(); }
    bool onlySentTo(std::uint32_t machine) const
    {
        return output.toAgents.size() == 1 && output.toAgents.front().machine == machine;
    }
    // Sequence numbers of the packets to the machine.
    std::multiset<std::uint32_t> sequencesTo(std::uint32_t machine) const
    {
        std::multiset<std::uint32_t> sequences;
        for (const sent_packet &sent : output.toAgents) {
            if (sent.machine == machine)
                sequences.insert(sent.head.sequence);
        }
        return sequences;
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
    // Lets a search of "orders" extend to all services, and the agent of "catalog" deny.
    void denyCatalog(std::int64_t at)
    {
        tick(at);
        deny({ 4 }, at);
    }
    void denyOrders(std::int64_t at) { deny({ 1, 2, 3 }, at); }
    void denyAll(std::int64_t at) { deny({ 1, 2, 3, 4 }, at); }
};

} // namespace oriolehold::flow
