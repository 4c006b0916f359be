#include "entry_balancer_fixture.h"

using namespace oriolehold;
using namespace oriolehold::flow;

// Open flows of services that the route does not have any more.
TEST_GROUP_BASE(former_service, entry_balancer_fixture) {};

// Guards against a reset of an open flow by an instance that joins after a version sent the route's
// new flows to another service: it has not seen the version that allowed the flow.
TEST(former_service, FlowOfAFormerServiceIsFoundByAnInstanceThatJoinedLater)
{
    publishWithFormerService(0);
    receive(packet(), 1000);
    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 4 }));
    receiveMessage(4, flow_denial { clientFlow, serviceDigest("catalog") }, 1002);
    publish(1004);
    tick(1008);

    CHECK_EQUAL(0, output.toClients.size());
    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 1, 2, 3, 4 }));
    claim(2, 1010);
    output.toAgents.clear();
    receive(packet(), 1020);
    CHECK_TRUE(onlySentTo(2));
    CHECK_EQUAL(serviceDigest("orders"), output.toAgents.front().head.tag.value);
}

// The client of a lost flow must not wait: the upstreams of the other services are asked at once,
// and nothing else is.
TEST(former_service, FlowThatNoUpstreamOfAnyServiceHoldsIsReset)
{
    publishWithFormerService(0);
    receive(packet(), 1000);
    deny({ 4 }, 1002);
    publish(1004);
    tick(1008);
    denyOrders(1010);
    tick(1011);

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
    tickBetween(1005, 1260);

    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 1, 2, 3, 4 }));
    CHECK_EQUAL(0, output.toClients.size());
}

// Otherwise their agents claim no flows to an instance that joins after the version that took away
// their route.
TEST(former_service, AgentsOfServicesWithoutARouteGetHellos)
{
    publishWithFormerService(0);
    tick(500);

    CHECK_TRUE((output.receivers<entry_hello>() == std::set<std::uint32_t> { 1, 2, 3, 4 }));
}

// Entries of other writers name machines where nobody answers; the client of a lost flow must not
// wait for them for as long as they are there.
TEST(former_service, EntryOfAnUnknownServiceDelaysResetsForFiveSecondsOnly)
{
    upstreams.upstreams.push_back(record(50, "unknown"));
    machinesWithoutAgent = { 50 };
    for (std::int64_t at = 0; at <= 5000; at += 500) {
        publishAndTick(at);
        report({ 1, 2, 3, 4 }, at + 2);
    }
    receive(packet(), 5010);
    denyAll(5012);
    publishAndTick(5020);

    CHECK_EQUAL(1, output.toClients.size());
    CHECK_FALSE(probedMachines().contains(50));
}

// Guards against a reset of an open flow by an instance that joins after a version took the service
// out of the configuration: without hellos its agents neither claim their flows nor report.
TEST(former_service, AgentsOfAServiceThatLeftTheConfigurationGetHellos)
{
    machinesWithoutAgent = { 1, 2, 3, 4 };
    publishWithoutFormerService(0);
    tick(500);

    CHECK_TRUE((output.receivers<entry_hello>() == std::set<std::uint32_t> { 1, 2, 3, 4 }));
}

// Guards against the same reset while the answers to the first hellos are late or lost.
TEST(former_service, AgentThatAnswersLateIsAskedBeforeAReset)
{
    machinesWithoutAgent = { 1, 2, 3 };
    publishWithoutFormerService(0);
    receive(packet(), 1000);
    deny({ 4 }, 1002);
    publishAndTick(1500);
    CHECK_EQUAL(0, output.toClients.size());

    report({ 2 }, 1510);
    tickBetween(1511, 1550);
    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 2, 4 }));
    CHECK_EQUAL(0, output.toClients.size());
}

// The instance that joined later finds the flow like one that knew the former version.
TEST(former_service, FlowOfAServiceThatLeftTheConfigurationIsFound)
{
    publishWithoutFormerService(0);
    receive(packet(), 1000);
    deny({ 4 }, 1002);
    publishAndTick(1004);
    CHECK_TRUE((probedMachines() == std::set<std::uint32_t> { 1, 2, 3, 4 }));
    CHECK_EQUAL(0, output.toClients.size());

    claim(2, 1010);
    output.toAgents.clear();
    receive(packet(), 1020);
    CHECK_TRUE(onlySentTo(2));
}

// Agents forget an instance that was frozen or cut off for 3 s. Without hellos, those of a service
// that left the configuration meanwhile would not report to it again.
TEST(former_service, AgentsThatWereSilentGetHellosAfterTheirServiceLeft)
{
    publish(0);
    report({ 1, 2, 3 }, 5);
    routes.version = 6;
    publishWithoutFormerService(100);
    output.messages.clear();
    tick(10'000);

    CHECK_TRUE((output.receivers<entry_hello>() == std::set<std::uint32_t> { 1, 2, 3, 4 }));
}

// An agent that was down for long must be heard again when its service comes back.
TEST(former_service, AgentThatWasDownIsGreetedAgain)
{
    machinesWithoutAgent = { 1, 2, 3 };
    publishWithoutFormerService(0);
    tickBetween(1, 60'000, 100);
    output.messages.clear();
    tickBetween(60'000, 65'100, 100);
    CHECK_TRUE(output.receivers<entry_hello>().contains(1));

    routes.version = 6;
    routes.services = { "orders", "catalog" };
    publish(65'200);
    output.messages.clear();
    tick(65'210);
    CHECK_TRUE(output.receivers<entry_hello>().contains(1));
}

// Guards against a reset of an open flow of a service that a version took out of the configuration:
// its agents still report to the instances that knew it.
TEST(former_service, ReportingAgentOfAnUnknownServiceMustDeny)
{
    upstreams.upstreams.push_back(record(50, "unknown"));
    publish(0);
    report({ 50 }, 5, 3);
    receive(packet(), 10);
    denyAll(12);
    publishAndTick(500);

    CHECK_EQUAL(0, output.toClients.size());
    CHECK_TRUE(probedMachines().contains(50));
}

// An upstream with weight 0 may hold flows that were opened when it had another weight.
TEST(former_service, ServiceWithWeightZeroIsSearchedAndGetsNoNewFlows)
{
    routes.routes.front().services = { { "catalog", 0 }, { "orders", 1 } };
    publishAndReceive(packet());
    CHECK_TRUE(probedMachines().contains(4));

    CHECK_FALSE(placeFlows(50, 20).contains(4));
    CHECK_EQUAL(50, output.toAgents.size());
}

// A flow that no service takes is refused at once; open flows of the route stay where they are.
TEST(former_service, RouteWithoutAServiceThatTakesFlowsKeepsItsOpenFlows)
{
    routes.routes.front().services = { { "orders", 0 } };
    publishAndReceive(openingFrom(9));
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
    publishAndReceive(packet());
    output.toAgents.clear();
    receiveMessage(2, flow_denial { clientFlow, serviceDigest("orders-former"), true }, 12);

    CHECK_TRUE(onlySentTo(2));
    CHECK_EQUAL(serviceDigest("orders-former"), output.toAgents.front().head.tag.value);
}

// Guards against a reset of an open flow: the agent of the owner returns the packet because of its
// tag, and must be asked again.
TEST(former_service, OwnerThatReturnsAMisdirectedPacketHasNotDenied)
{
    publish(0);
    claim(1, 10);
    receive(packet(), 20);
    receiveBack(packet(), instruction::misdirected, 1, "catalog", 22);

    CHECK_TRUE(probedMachines().contains(1));
}
