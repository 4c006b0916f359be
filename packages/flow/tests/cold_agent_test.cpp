#include "flow_agent_fixture.h"

using namespace oriolehold;
using namespace oriolehold::flow;

namespace {

struct cold_agent_fixture : public flow_agent_fixture
{
    cold_agent_fixture() : flow_agent_fixture({ 3, "orders", opening_bounds { 1.5, 5 } }) { }

    void open(std::uint16_t port, std::int64_t at, std::uint8_t priority = 1,
              std::uint32_t copy = 0)
    {
        packet_head head = opening(port, copy);
        head.tag = { instruction::deliver, serviceDigest("orders"), priority, 200ms, 2000ms };
        receive(head, at);
    }
    void flushAndTick(std::int64_t at)
    {
        agent.upstreamFlushed(atMilliseconds(at));
        tick(at);
    }
    std::size_t refused() const { return std::ranges::count(returned(), instruction::refused); }
};

} // namespace

TEST_GROUP_BASE(cold_agent, cold_agent_fixture) {};

// Guards against refusals of copies whose flow the upstream has accepted: the client would open the
// flow a second time elsewhere.
TEST(cold_agent, CopyOfAnAnsweredOpeningPacketIsNotRefused)
{
    for (std::uint16_t port = 1; port <= 10; ++port)
        open(port, 0, 1, 1); // a copy may not wait
    CHECK_EQUAL(4, output.toUpstream.size());
    CHECK_EQUAL(6, refused());
    CHECK_EQUAL(6, agent.counters().refusedCold);
    accept(5, 0, 1);
    open(1, 10, 1, 2);
    CHECK_EQUAL(5, output.toUpstream.size());
    CHECK_EQUAL(6, refused());
}

// Guards against first copies that are refused although the next tenth of a second has room, and
// against urgent ones behind others.
TEST(cold_agent, MostUrgentFirstCopiesWaitForRoom)
{
    flushAndTick(0);
    notify({ 7, 60s, 20, {}, false }, 1100);
    std::uint16_t port = 1;
    while (output.toEntries.empty())
        open(port++, 1100, 3);
    const std::size_t passed = output.toUpstream.size();
    open(100, 1101, 0);
    open(101, 1101, 9);
    flushAndTick(1150);
    CHECK_EQUAL(passed + 1, output.toUpstream.size());
    CHECK_EQUAL(100, output.toUpstream.back().source.port);
    flushAndTick(1250);
    // Nothing waits for longer than a tenth of a second.
    CHECK_EQUAL(port - 1 + 2, output.toUpstream.size() + refused());
}

// Guards against a flood between the restart of an upstream and the first notice of it.
TEST(cold_agent, UpstreamThatStopsAnsweringCountsAsCold)
{
    notify({ 7, 0s, 20, {}, false }, 0);
    CHECK_FALSE(agent.limitsOpenings(atMilliseconds(0)));
    open(1, 0);
    open(2, 0);
    flushAndTick(60);
    CHECK_TRUE(agent.limitsOpenings(atMilliseconds(60)));
    accept(100, 0, 1);
    CHECK_TRUE(agent.limitsOpenings(atMilliseconds(5000)));
    notify({ 8, 0s, 20, {}, false }, 5000);
    CHECK_FALSE(agent.limitsOpenings(atMilliseconds(5100)));
}

// Guards against a flow that counts as older than the restart because its first opening packet is.
TEST(cold_agent, FlowThatTheRestartedUpstreamAcceptedDoesNotProveThatItRuns)
{
    notify({ 7, 0s, 20, {}, false }, 0);
    open(1, 0);
    open(2, 0);
    flushAndTick(60);
    open(1, 200, 1, 1);
    accept(205, 0, 1);
    for (const std::int64_t at : { 300, 400 })
        answer(fromUpstream(10, 1), at);
    CHECK_TRUE(agent.limitsOpenings(atMilliseconds(400)));
}
