#include "entry_balancer_fixture.h"

using namespace oriolehold;
using namespace oriolehold::flow;

// New flows of clients from ports that had a flow before.
TEST_GROUP_BASE(used_port, entry_balancer_fixture) {};

// Guards against new flows at a draining upstream: a client that closed its flow may open the next
// one from the same port.
TEST(used_port, NewFlowFromAUsedPortDoesNotGoToADrainingUpstream)
{
    publish(0);
    receive(openingWithSequence(700), 10);
    const std::uint32_t former = output.toAgents.back().machine;
    claim(former, 20);
    upstreams.upstreams[former - 1].phase = upstream_phase::draining;
    publish(1000);
    for (std::uint32_t copy = 0; copy < 3; ++copy) {
        output.toAgents.clear();
        receive(openingWithSequence(900, copy), 5000 + 200 * copy);
        CHECK_EQUAL(1, output.toAgents.size());
        CHECK_TRUE(output.toAgents.front().machine != former);
    }
}

// The same for a flow that another instance placed: only the claim of its agent is known here.
TEST(used_port, NewFlowFromAPortOfAClaimedFlowDoesNotGoToADrainingUpstream)
{
    publish(0);
    claim(1, 20);
    upstreams.upstreams[0].phase = upstream_phase::draining;
    publish(1000);
    receive(openingWithSequence(900, 1), 5000);
    CHECK_EQUAL(1, output.toAgents.size());
    CHECK_TRUE(output.toAgents.front().machine != 1);
}

// Guards against flows that a configuration does not allow any more.
TEST(used_port, NewFlowFromAUsedPortNeedsARoute)
{
    publish(0);
    receive(openingWithSequence(700), 10);
    claim(output.toAgents.back().machine, 20);
    routes.version = 6;
    routes.routes.clear();
    publish(1000);
    output.toAgents.clear();
    receive(openingWithSequence(900), 5000);

    CHECK_EQUAL(0, output.toAgents.size());
    CHECK_EQUAL(1, output.toClients.size());
}

TEST(used_port, NewFlowFromAUsedPortGoesToThePresentServiceOfItsRoute)
{
    publish(0);
    claim(1, 20);
    routes.version = 6;
    routes.routes.front().services = { { "catalog", 1 } };
    publish(1000);
    for (std::uint32_t copy = 0; copy < 2; ++copy) {
        receive(openingWithSequence(900, copy), 5000 + 200 * copy);
        CHECK_EQUAL(4, output.toAgents.back().machine);
        CHECK_EQUAL(serviceDigest("catalog"), output.toAgents.back().head.tag.value);
    }
}

// Otherwise the answer to a probe for the former flow makes its upstream the owner of the new one.
TEST(used_port, NewFlowFromAUsedPortEndsTheSearchForTheFormerOne)
{
    publishAndReceive(packet());
    CHECK_EQUAL(1, balancer.openSearches());
    receive(openingWithSequence(900), 15);

    CHECK_EQUAL(0, balancer.openSearches());
}

// A late copy must not move the flow that another copy has opened.
TEST(used_port, LateCopyOfAnOpeningPacketGoesToTheOwnerOfItsFlow)
{
    publish(0);
    receive(openingWithSequence(700), 10);
    const std::uint32_t owner = output.toAgents.back().machine;
    claim(owner, 20);
    receive(openingWithSequence(700, 1), 215);
    CHECK_EQUAL(owner, output.toAgents.back().machine);

    packet_head other = openingWithSequence(800, 2);
    other.source.port = 9;
    receiveMessage(2, flow_claim { { { other.source, ordersAddress } } }, 220);
    receive(other, 620);
    CHECK_EQUAL(2, output.toAgents.back().machine);
}
