#include "entry_balancer_fixture.h"

using namespace oriolehold;
using namespace oriolehold::flow;

namespace {

constexpr std::uint32_t agentMachine = 1;
constexpr std::uint32_t entryMachine = 50;
constexpr std::int64_t tickInterval = 50; // milliseconds

} // namespace

// An entry instance and an agent that exchange messages.
TEST_GROUP_BASE(claim_exchange, entry_balancer_fixture)
{
    recording_agent_output agentOutput;
    flow_agent agent { { 3, "orders" }, codec, documents, agentOutput, observer };

    void openFlow(std::int64_t at)
    {
        packet_head head;
        head.source = ordersAddress;
        head.destination = client;
        head.acknowledges = true;
        agent.receiveFromUpstream(fake_codec::encode(head), atMilliseconds(at));
    }
    // Passes on all messages except claims, unless they arrive.
    void exchange(std::int64_t at, bool claimsArrive)
    {
        tick(at);
        for (const auto &[machine, message] : std::exchange(output.messages, {}))
            agent.receiveMessage(entryMachine, message, atMilliseconds(at));
        agent.tick(atMilliseconds(at));
        for (const auto &[machine, message] : std::exchange(agentOutput.messages, {})) {
            if (claimsArrive || !std::holds_alternative<flow_claim>(message))
                receiveMessage(agentMachine, message, at);
        }
    }
};

// The claims of all agents reach a restarted entry instance at once and overflow its socket. Their
// flows would have to be searched until it restarts again.
TEST(claim_exchange, LostClaimsAreRepeated)
{
    upstreams.upstreams = { record(agentMachine) };
    openFlow(0);
    publish(10);
    for (std::int64_t at = 10; at < 500; at += tickInterval)
        exchange(at, false);
    for (std::int64_t at = 500; at < 3000; at += tickInterval)
        exchange(at, true);

    CHECK_EQUAL(agentMachine, balancer.ownerOf(clientFlow));
}
