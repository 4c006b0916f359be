#include "entry_balancer_fixture.h"

using namespace oriolehold;
using namespace oriolehold::flow;

// Entries of other writers that look like those of upstreams, and name machines without an agent.
TEST_GROUP_BASE(foreign_entry, entry_balancer_fixture)
{
    static constexpr std::uint32_t machineOfClient = 50;

    void setup() override
    {
        entry_balancer_fixture::setup();
        machinesWithoutAgent = { machineOfClient };
    }
    void addForeignEntry(std::string service = "orders")
    {
        upstreams.upstreams.push_back(record(machineOfClient, std::move(service)));
    }
    bool gotPackets(std::uint32_t machine) const
    {
        return std::ranges::count(output.toAgents, machine, &sent_packet::machine) > 0;
    }
};

// Guards against requests that reach another client, whose address an entry names.
TEST(foreign_entry, SearchProbesOnlyMachinesWhoseAgentsWereHeard)
{
    addForeignEntry();
    publishAndReceive(packet());
    denyAll(12);
    publishAndTick(500);
    receive(packet(), 510);

    CHECK_FALSE(gotPackets(machineOfClient));
    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 1, 2, 3, 4 }));
}

// Guards against probes that an agent sends to such a machine on behalf of the instance.
TEST(foreign_entry, AgentsAreNotAskedToProbeMachinesWithoutAnAgent)
{
    for (std::uint32_t machine = 51; machine <= 80; ++machine)
        machinesWithoutAgent.insert(machine);
    publishLargeService(0, 80);
    for (std::uint32_t machine = 1; machine < machineOfClient; ++machine)
        receiveMessage(machine, load_report { .bootId = machine }, 5);
    receive(packet(), 10);

    CHECK_FALSE(relayRequests().empty());
    for (const auto &[agent, request] : relayRequests())
        CHECK_TRUE(std::ranges::none_of(
                request.machines, [](std::uint32_t item) { return item >= machineOfClient; }));
}

// Guards against new flows, and with them requests, at another client.
TEST(foreign_entry, MachineWithoutAnAgentGetsNoNewFlows)
{
    addForeignEntry();
    publish(0);

    CHECK_TRUE((placeFlows(200, 10) == std::set<std::uint32_t> { 1, 2, 3 }));
    CHECK_EQUAL(200, output.toAgents.size());
}

// Guards against a wrong reset by an instance that has not heard the agent of the owner yet.
TEST(foreign_entry, UpstreamWhoseAgentIsHeardLateIsProbedBeforeAReset)
{
    addForeignEntry();
    publishAndReceive(packet());
    denyAll(12);
    publishAndTick(500);
    CHECK_EQUAL(0, output.toClients.size());

    report({ machineOfClient }, 520);
    tickBetween(521, 560);
    CHECK_TRUE(probedMachines().contains(machineOfClient));
    CHECK_EQUAL(0, output.toClients.size());
    deny({ machineOfClient }, 561);
    publishAndTick(562);
    CHECK_EQUAL(1, output.toClients.size());
}

// Guards against clients of lost flows that get no reset for as long as the entry is there.
TEST(foreign_entry, UnansweredHellosEndTheWaitForAnAgent)
{
    addForeignEntry();
    publish(0);
    for (std::int64_t at = 0; at <= 20'000; at += 500) {
        publishAndTick(at);
        report({ 1, 2, 3, 4 }, at + 2);
    }
    receive(packet(), 20'010);
    denyAll(20'012);
    publishAndTick(20'020);

    CHECK_EQUAL(1, output.toClients.size());
    CHECK_FALSE(gotPackets(machineOfClient));
}

// The same for an entry that is written again and again with a later start.
TEST(foreign_entry, LaterStartDoesNotRenewTheWaitForAnAgent)
{
    addForeignEntry();
    publish(0);
    for (std::int64_t at = 0; at <= 20'000; at += 500) {
        ++upstreams.upstreams.back().incarnation;
        publishAndTick(at);
        report({ 1, 2, 3, 4 }, at + 2);
    }
    receive(packet(), 20'010);
    denyAll(20'012);
    publishAndTick(20'020);

    CHECK_EQUAL(1, output.toClients.size());
}

// Guards against a refusal of flows that can be placed some milliseconds later, when the agents
// have answered their first hellos.
TEST(foreign_entry, OpeningPacketIsNotRefusedBeforeTheAgentsAnswer)
{
    machinesWithoutAgent = { 1, 2, 3, 4 };
    publishAndReceive(opening());
    CHECK_EQUAL(0, output.toClients.size());
    CHECK_EQUAL(0, output.toAgents.size());

    report({ 2 }, 15);
    receive(opening(1), 210);
    CHECK_TRUE(onlySentTo(2));
}

// A service of which no agent ever answers can't be served; its clients are told at once.
TEST(foreign_entry, OpeningPacketIsRefusedWhenNoAgentOfItsServiceExists)
{
    machinesWithoutAgent = { 1, 2, 3, 4 };
    for (std::int64_t at = 0; at <= 20'000; at += 500)
        publishAndTick(at);
    receive(opening(), 20'010);

    CHECK_EQUAL(1, output.toClients.size());
}

// Guards against a delay of up to a round of hellos until a new upstream is used.
TEST(foreign_entry, NewMachineGetsAHelloAtOnce)
{
    publishAndTick(0);
    tick(100);
    output.messages.clear();
    upstreams.upstreams.push_back(record(9));
    publishAndTick(110);

    CHECK_TRUE((output.receivers<entry_hello>() == std::set<std::uint32_t> { 9 }));
}

// Agents report to the former process of a restarted instance; their upstreams are used at once.
TEST(foreign_entry, AgentThatReportedBeforeItsUpstreamWasListedIsKnown)
{
    machinesWithoutAgent = { 1, 2, 3, 4 };
    report({ 3 }, 0);
    publish(5);

    CHECK_TRUE((placeFlows(20, 10) == std::set<std::uint32_t> { 3 }));
}

// Guards against packets of clients at another entry instance whose address an entry names, and
// against an isolated instance that stays in rotation because it hears other instances.
TEST(foreign_entry, MessagesOfOtherInstancesAreNotThoseOfAnAgent)
{
    addForeignEntry();
    publish(0);
    tick(1);
    receiveMessage(machineOfClient, entry_hello { 8, "zone-a", 2 }, 1100);
    receiveMessage(machineOfClient, view_summary {}, 1100);
    receiveMessage(machineOfClient, view_request { true, true }, 1100);
    receive(packet(), 1110);

    CHECK_FALSE(gotPackets(machineOfClient));
    CHECK_TRUE(balancer.isolated(atMilliseconds(1110)));
}

// An upstream that starts again under the agent that was heard is used without a new message.
TEST(foreign_entry, RestartedUpstreamKeepsItsAgent)
{
    publish(0);
    machinesWithoutAgent = { 1 };
    upstreams.upstreams[0].incarnation += 1000;
    publish(500);

    CHECK_TRUE(placeFlows(60, 510).contains(1));
}

// Guards against packets that circulate among entry instances without end: each would search for
// the owner of a probe's flow, and probe the others.
TEST(foreign_entry, PacketsForAgentsAreNotThoseOfAClient)
{
    publish(0);
    for (const instruction kind : { instruction::probe, instruction::deliver }) {
        packet_head head = packet();
        head.tag = { kind, serviceDigest("orders"), 2 };
        receive(head, 10);
        head.opens = true;
        head.acknowledges = false;
        receive(head, 20);
    }
    tickBetween(20, 300);

    CHECK_EQUAL(0, balancer.openSearches());
    CHECK_EQUAL(0, output.toAgents.size());
    CHECK_EQUAL(0, output.toClients.size());
    CHECK_EQUAL(4, balancer.counters().misaddressed);
}

// Guards against the same where the flow has an owner: packets would reach its upstream doubled.
TEST(foreign_entry, PacketsForAgentsOfAKnownFlowAreNotForwarded)
{
    publish(0);
    claim(2, 5);
    packet_head head = packet();
    head.tag = { instruction::deliver, serviceDigest("orders"), 2 };
    receive(head, 10);

    CHECK_EQUAL(0, output.toAgents.size());
}
