#include "entry_balancer_fixture.h"

using namespace oriolehold;
using namespace oriolehold::flow;

// Open flows of services that the route does not have any more.
TEST_GROUP_BASE(former_service, entry_balancer_fixture) {};

// Guards against a reset of an open flow by an instance that joins after a version sent the route's
// new flows to another service: it has not seen the version that allowed the flow.
TEST(former_service, FlowOfAFormerServiceIsFoundByAnInstanceThatJoinedLater)
{
    const flow_key key { client, ordersAddress };
    publishWithFormerService(0);
    receive(packet(), 1000);
    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 4 }));
    balancer.receiveMessage(4, flow_denial { key, serviceDigest("catalog") }, atMilliseconds(1002));
    publish(1004);
    balancer.tick(atMilliseconds(1008));

    CHECK_EQUAL(0, output.toClients.size());
    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 1, 2, 3, 4 }));
    balancer.receiveMessage(2, flow_claim { { key } }, atMilliseconds(1010));
    output.toAgents.clear();
    receive(packet(), 1020);
    CHECK_EQUAL(1, output.toAgents.size());
    CHECK_EQUAL(2, output.toAgents.front().machine);
    CHECK_EQUAL(serviceDigest("orders"), output.toAgents.front().head.tag.value);
}

// The client of a lost flow must not wait: the upstreams of the other services are asked at once,
// and nothing else is.
TEST(former_service, FlowThatNoUpstreamOfAnyServiceHoldsIsReset)
{
    publishWithFormerService(0);
    receive(packet(), 1000);
    balancer.receiveMessage(4, flow_denial { { client, ordersAddress } }, atMilliseconds(1002));
    publish(1004);
    balancer.tick(atMilliseconds(1008));
    denyAll(1010);
    balancer.tick(atMilliseconds(1011));

    CHECK_EQUAL(1, output.toClients.size());
    CHECK_TRUE(output.toClients.front().head.resets);
    CHECK_EQUAL(1, balancer.counters().widened);
}

// Guards against a flow whose packets never reach its upstream, because one of the route's present
// service neither denies nor answers.
TEST(former_service, SilentUpstreamOfTheRouteDoesNotHideAFormerService)
{
    publishWithFormerService(0);
    receive(packet(), 1000);
    for (std::int64_t at = 1005; at < 1260; at += 5)
        balancer.tick(atMilliseconds(at));

    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 1, 2, 3, 4 }));
    CHECK_EQUAL(0, output.toClients.size());
}

// Otherwise their agents claim no flows to an instance that joins after the version that took away
// their route.
TEST(former_service, AgentsOfServicesWithoutARouteGetHellos)
{
    publishWithFormerService(0);
    balancer.tick(atMilliseconds(500));

    std::set<std::uint32_t> machines;
    for (const auto &[machine, message] : output.messages) {
        if (std::holds_alternative<entry_hello>(message))
            machines.insert(machine);
    }
    CHECK_TRUE((machines == std::set<std::uint32_t> { 1, 2, 3, 4 }));
}

// Entries of other writers name machines where nobody answers; the client of a lost flow would wait
// for them.
TEST(former_service, EntryOfAnUnknownServiceDoesNotDelayResets)
{
    upstreams.upstreams.push_back(record(50, "unknown"));
    publish(0);
    receive(packet(), 10);
    denyAll(12);
    balancer.receiveMessage(4, flow_denial { { client, ordersAddress } }, atMilliseconds(12));
    publish(500);
    balancer.tick(atMilliseconds(501));

    CHECK_EQUAL(1, output.toClients.size());
    CHECK_FALSE(probedMachines().contains(50));
}

// Guards against a reset of an open flow of a service that a version took out of the configuration:
// its agents still report to the instances that knew it.
TEST(former_service, ReportingAgentOfAnUnknownServiceMustDeny)
{
    upstreams.upstreams.push_back(record(50, "unknown"));
    publish(0);
    balancer.receiveMessage(50, load_report { .bootId = 3 }, atMilliseconds(5));
    receive(packet(), 10);
    denyAll(12);
    publish(500);
    balancer.tick(atMilliseconds(501));

    CHECK_EQUAL(0, output.toClients.size());
    CHECK_TRUE(probedMachines().contains(50));
}

// An upstream with weight 0 may hold flows that were opened when it had another weight.
TEST(former_service, ServiceWithWeightZeroIsSearchedAndGetsNoNewFlows)
{
    routes.routes.front().services = { { "catalog", 0 }, { "orders", 1 } };
    publish(0);
    receive(packet(), 10);
    CHECK_TRUE(probedMachines().contains(4));

    output.toAgents.clear();
    for (std::uint16_t port = 1; port <= 50; ++port) {
        packet_head head = opening();
        head.source.port = port;
        receive(head, 20);
    }
    CHECK_EQUAL(50, output.toAgents.size());
    CHECK_TRUE(std::ranges::none_of(output.toAgents,
                                    [](const sent_packet &sent) { return sent.machine == 4; }));
}

// A flow that no service takes is refused at once; open flows of the route stay where they are.
TEST(former_service, RouteWithoutAServiceThatTakesFlowsKeepsItsOpenFlows)
{
    routes.routes.front().services = { { "orders", 0 } };
    publish(0);
    packet_head other = opening();
    other.source.port = 9;
    receive(other, 10);
    CHECK_EQUAL(0, output.toAgents.size());
    CHECK_EQUAL(1, output.toClients.size());

    receive(packet(), 20);
    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 1, 2, 3 }));
    CHECK_EQUAL(1, output.toClients.size());
}

// Guards against a reset of an open flow: an agent of another service than the list says has not
// denied a packet that it did not pass on.
TEST(former_service, AgentOfAnUnexpectedServiceIsProbedForIt)
{
    publish(0);
    receive(packet(), 10);
    output.toAgents.clear();
    balancer.receiveMessage(
            2, flow_denial { { client, ordersAddress }, serviceDigest("orders-former"), true },
            atMilliseconds(12));

    CHECK_EQUAL(1, output.toAgents.size());
    CHECK_EQUAL(2, output.toAgents.front().machine);
    CHECK_EQUAL(serviceDigest("orders-former"), output.toAgents.front().head.tag.value);
}

// Guards against a reset of an open flow: the agent of the owner returns the packet because of its
// tag, and must be asked again.
TEST(former_service, OwnerThatReturnsAMisdirectedPacketHasNotDenied)
{
    publish(0);
    balancer.receiveMessage(1, flow_claim { { { client, ordersAddress } } }, atMilliseconds(10));
    receive(packet(), 20);
    receiveBack(packet(), instruction::misdirected, 1, "catalog", 22);

    CHECK_TRUE(probedMachines().contains(1));
}
