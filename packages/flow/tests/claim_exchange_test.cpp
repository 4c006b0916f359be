#include "flow_fakes.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;

namespace {

constexpr base::endpoint client { 0x64400007, 40001 };
constexpr base::endpoint service { 0xc6120001, 443 };
constexpr std::uint32_t agentMachine = 1;
constexpr std::uint32_t entryMachine = 50;
constexpr std::int64_t tickInterval = 50; // milliseconds

} // namespace

// An entry instance and an agent that exchange messages.
TEST_GROUP(claim_exchange)
{
    fake_codec codec;
    fake_document_codec documents;
    base::seeded_random random { 1 };
    expected_time_policy policy { random };
    recording_observer observer;
    recording_entry_output entryOutput;
    recording_agent_output agentOutput;
    entry_balancer balancer {
        { 7, "zone-a", {} }, codec, documents, policy, entryOutput, observer
    };
    flow_agent agent { { 3, "orders" }, codec, documents, agentOutput, observer };

    void openFlow(std::int64_t at)
    {
        packet_head head;
        head.source = service;
        head.destination = client;
        head.acknowledges = true;
        agent.receiveFromUpstream(fake_codec::encode(head), atMilliseconds(at));
    }
    void publish(std::int64_t at)
    {
        flow_configuration routes;
        routes.version = 5;
        routes.routes = { { service, { { "orders", 1 } }, 2, 100ms, 1500ms } };
        upstream_record record;
        record.id = "i-1";
        record.service = "orders";
        record.address = { agentMachine, 8080 };
        record.zone = "zone-a";
        upstream_list list;
        list.revision = { 1, 1 };
        list.upstreams = { record };
        balancer.finishRead(routes, list, atMilliseconds(at), atMilliseconds(at));
    }
    // Passes on all messages except claims, unless they arrive.
    void exchange(std::int64_t at, bool claimsArrive)
    {
        balancer.tick(atMilliseconds(at));
        for (const auto &[machine, message] : std::exchange(entryOutput.messages, {}))
            agent.receiveMessage(entryMachine, message, atMilliseconds(at));
        agent.tick(atMilliseconds(at));
        for (const auto &[machine, message] : std::exchange(agentOutput.messages, {})) {
            if (claimsArrive || !std::holds_alternative<flow_claim>(message))
                balancer.receiveMessage(agentMachine, message, atMilliseconds(at));
        }
    }
};

// The claims of all agents reach a restarted entry instance at once and overflow its socket. Their
// flows would have to be searched until it restarts again.
TEST(claim_exchange, LostClaimsAreRepeated)
{
    openFlow(0);
    publish(10);
    for (std::int64_t at = 10; at < 500; at += tickInterval)
        exchange(at, false);
    for (std::int64_t at = 500; at < 3000; at += tickInterval)
        exchange(at, true);

    CHECK_EQUAL(agentMachine, balancer.ownerOf({ client, service }));
}
