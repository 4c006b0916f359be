#include "oriolehold/flow/flow_agent.h"

#include "flow_fakes.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;
using instruction = packet_tag::instruction;

namespace {

constexpr base::endpoint entry { 50, 7000 };

} // namespace

TEST_GROUP(cold_agent)
{
    fake_codec codec;
    fake_document_codec documents;
    recording_agent_output output;
    recording_observer observer;
    flow_agent agent {
        { 3, "orders", opening_bounds { 1.5, 5 } }, codec, documents, output, observer
    };

    packet_head opening(std::uint16_t port, std::uint8_t priority = 1) const
    {
        packet_head head;
        head.source = { 0x64400007, port };
        head.destination = { 0xc6120001, 443 };
        head.opens = true;
        head.tag = { instruction::deliver, serviceDigest("orders"), priority, 200ms, 2000ms };
        return head;
    }
    void receive(const packet_head &head, std::int64_t at)
    {
        agent.receiveFromEntry(entry, fake_codec::encode(head), atMilliseconds(at));
    }
    void notify(std::uint64_t incarnation, std::chrono::milliseconds left, std::int64_t at)
    {
        agent.receiveMessage(entry.address, upstream_notice { incarnation, left, 20, {}, false },
                             atMilliseconds(at));
    }
    void tick(std::int64_t at)
    {
        agent.upstreamFlushed(atMilliseconds(at));
        agent.tick(atMilliseconds(at));
    }
    // The upstream answers the opening packet of the client's port.
    void answer(std::uint16_t port, std::int64_t at)
    {
        packet_head head;
        head.source = { 0xc6120001, 443 };
        head.destination = { 0x64400007, port };
        head.opens = head.acknowledges = true;
        agent.receiveFromUpstream(fake_codec::encode(head), atMilliseconds(at));
    }
    std::size_t refused() const
    {
        return std::ranges::count(output.toEntries, instruction::refused,
                                  [](const sent_packet &item) { return item.head.tag.kind; });
    }
};

// Guards against refusals of copies whose flow the upstream has accepted: the client would open the
// flow a second time elsewhere.
TEST(cold_agent, CopyOfAnAnsweredOpeningPacketIsNotRefused)
{
    for (std::uint16_t port = 1; port <= 10; ++port) {
        packet_head head = opening(port);
        head.acknowledgement = 1; // a copy may not wait
        receive(head, 0);
    }
    CHECK_EQUAL(4, output.toUpstream.size());
    CHECK_EQUAL(6, refused());
    CHECK_EQUAL(6, agent.counters().refusedCold);
    answer(1, 5);
    packet_head copy = opening(1);
    copy.acknowledgement = 2;
    receive(copy, 10);
    CHECK_EQUAL(5, output.toUpstream.size());
    CHECK_EQUAL(6, refused());
}

// Guards against first copies that are refused although the next tenth of a second has room, and
// against urgent ones behind others.
TEST(cold_agent, MostUrgentFirstCopiesWaitForRoom)
{
    tick(0);
    notify(7, 60s, 1100);
    std::uint16_t port = 1;
    while (output.toEntries.empty())
        receive(opening(port++, 3), 1100);
    const std::size_t passed = output.toUpstream.size();
    receive(opening(100, 0), 1101);
    receive(opening(101, 9), 1101);
    tick(1150);
    CHECK_EQUAL(passed + 1, output.toUpstream.size());
    CHECK_EQUAL(100, output.toUpstream.back().source.port);
    tick(1250);
    // Nothing waits for longer than a tenth of a second.
    CHECK_EQUAL(port - 1 + 2, output.toUpstream.size() + refused());
}

// Guards against a flood between the restart of an upstream and the first notice of it.
TEST(cold_agent, UpstreamThatStopsAnsweringCountsAsCold)
{
    notify(7, 0s, 0);
    CHECK_FALSE(agent.limitsOpenings(atMilliseconds(0)));
    receive(opening(1), 0);
    receive(opening(2), 0);
    tick(60);
    CHECK_TRUE(agent.limitsOpenings(atMilliseconds(60)));
    answer(1, 100);
    CHECK_TRUE(agent.limitsOpenings(atMilliseconds(5000)));
    notify(8, 0s, 5000);
    CHECK_FALSE(agent.limitsOpenings(atMilliseconds(5100)));
}

// Guards against a flow that counts as older than the restart because its first opening packet is.
TEST(cold_agent, FlowThatTheRestartedUpstreamAcceptedDoesNotProveThatItRuns)
{
    notify(7, 0s, 0);
    receive(opening(1), 0);
    receive(opening(2), 0);
    tick(60);
    packet_head copy = opening(1);
    copy.acknowledgement = 1;
    receive(copy, 200);
    answer(1, 205);
    packet_head data;
    data.source = { 0xc6120001, 443 };
    data.destination = { 0x64400007, 1 };
    data.payloadSize = 10;
    for (const std::int64_t at : { 300, 400 })
        agent.receiveFromUpstream(fake_codec::encode(data), atMilliseconds(at));
    CHECK_TRUE(agent.limitsOpenings(atMilliseconds(400)));
}
