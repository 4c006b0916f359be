#include "oriolehold/flow/flow_agent.h"

#include "flow_fakes.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::flow;
using instruction = packet_tag::instruction;

namespace {

constexpr base::endpoint client { 0x64400007, 40001 };
constexpr base::endpoint service { 0xc6120001, 443 };
constexpr base::endpoint entry { 50, 7000 };
constexpr base::endpoint otherEntry { 51, 7000 };

} // namespace

TEST_GROUP(flow_agent)
{
    fake_codec codec;
    fake_document_codec documents;
    recording_agent_output output;
    recording_observer observer;
    flow_agent agent { { 3, "orders" }, codec, documents, output, observer };

    packet_head fromClient(instruction kind = instruction::deliver, std::uint16_t size = 0,
                           std::uint32_t sequence = 100) const
    {
        packet_head head;
        head.source = client;
        head.destination = service;
        head.acknowledges = true;
        head.tag = { kind, serviceDigest("orders"), 1 };
        head.payloadSize = size;
        head.sequence = sequence;
        return head;
    }
    packet_head opening() const
    {
        packet_head head = fromClient();
        head.opens = true;
        head.acknowledges = false;
        return head;
    }
    packet_head fromUpstream(std::uint16_t size = 0) const
    {
        packet_head head;
        head.source = service;
        head.destination = client;
        head.acknowledges = true;
        head.payloadSize = size;
        return head;
    }
    void receive(const packet_head &head, std::int64_t at, const base::endpoint &from = entry)
    {
        agent.receiveFromEntry(from, fake_codec::encode(head), atMilliseconds(at));
    }
    void answer(const packet_head &head, std::int64_t at)
    {
        agent.receiveFromUpstream(fake_codec::encode(head), atMilliseconds(at));
    }
    // Calls tick() every 40 ms.
    void tickUntil(std::int64_t last)
    {
        for (std::int64_t at = 40; at <= last; at += 40)
            agent.tick(atMilliseconds(at));
    }
    // The upstream returns the last packet that it received.
    void returnLast(std::int64_t at)
    {
        packet_head head = output.toUpstream.back();
        head.returned = true;
        answer(head, at);
    }
    void sendHello(std::uint64_t bootId = 1, std::uint32_t slots = 2)
    {
        agent.receiveMessage(entry.address, entry_hello { bootId, "zone-a", slots },
                             atMilliseconds(0));
    }
    // Opens a flow, answers 100 bytes and ends it from both sides.
    void openAndEndFlow()
    {
        receive(opening(), 0);
        packet_head head = fromUpstream();
        head.opens = true;
        head.sequence = 50'000;
        answer(head, 1);
        head = fromUpstream(100);
        head.finishes = true;
        head.sequence = 50'001;
        answer(head, 10);
        head = fromClient(instruction::deliver, 0, 101);
        head.acknowledgement = 50'102;
        head.finishes = true;
        receive(head, 20);
    }
    // Opens a flow and sends its request; each flow has its own client port. copy is the number of
    // earlier copies of its opening packet.
    void request(std::uint16_t port, std::int64_t at, std::uint8_t priority = 1,
                 std::uint32_t copy = 0)
    {
        packet_head head = opening();
        head.source.port = port;
        head.acknowledgement = copy;
        receive(head, at);
        head = fromUpstream();
        head.destination.port = port;
        head.opens = true;
        answer(head, at);
        head = fromClient(instruction::deliver, 200);
        head.source.port = port;
        head.tag.priority = priority;
        head.tag.latencyObjective = std::chrono::milliseconds { 100 };
        head.tag.timeout = std::chrono::milliseconds { 2000 };
        receive(head, at);
    }
    std::vector<std::uint16_t> portsOfRequests() const
    {
        std::vector<std::uint16_t> ports;
        for (const packet_head &head : output.toUpstream) {
            if (head.payloadSize > 0)
                ports.push_back(head.source.port);
        }
        return ports;
    }
    // The client closes or resets the flow of a request.
    void endFlow(std::uint16_t port, std::int64_t at, bool resets)
    {
        packet_head head = fromClient(instruction::deliver, 0, 300);
        head.source.port = port;
        head.resets = resets;
        head.finishes = !resets;
        receive(head, at);
    }
    void answerRequest(std::uint16_t port, std::int64_t at)
    {
        packet_head head = fromUpstream(500);
        head.destination.port = port;
        answer(head, at);
        agent.tick(atMilliseconds(at));
    }
};

// Guards against open flows that no entry instance knows: the agent took the opening packet for one
// of the former flow, which had ended, and did not claim the new one.
TEST(flow_agent, FlowFromAPortThatWasUsedBeforeIsClaimed)
{
    sendHello();
    openAndEndFlow();
    CHECK_EQUAL(0, agent.openFlows());
    output.messages.clear();
    packet_head head = opening();
    head.sequence = 9000;
    receive(head, 5000);
    head = fromUpstream();
    head.opens = true;
    head.sequence = 77000;
    answer(head, 5001);
    answer(fromUpstream(100), 5010);

    CHECK_EQUAL(1, agent.openFlows());
    CHECK_EQUAL(1, output.sent<flow_claim>().size());
}

// An upstream answers data on a flow that has ended with a reset, which the client takes for one of
// its present flow at another upstream.
TEST(flow_agent, DataOfALaterFlowDoesNotReachTheUpstreamOfTheFormerOne)
{
    sendHello();
    openAndEndFlow();
    const std::size_t delivered = output.toUpstream.size();
    output.messages.clear();
    packet_head later = fromClient(instruction::deliver, 100, 9001);
    later.acknowledgement = 123'456'789;
    receive(later, 5000);
    later.tag.kind = instruction::probe;
    receive(later, 5001);

    CHECK_EQUAL(delivered, output.toUpstream.size());
    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_TRUE(output.toEntries.front().head.tag.kind == instruction::absent);
    CHECK_EQUAL(1, output.sent<flow_denial>().size());
    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

// The same for a restarted agent, which has not seen the answer to the opening packet.
TEST(flow_agent, RestartedAgentDeniesDataOfALaterFlow)
{
    answer(fromUpstream(100), 0);
    packet_head last = fromClient(instruction::deliver, 0, 101);
    last.finishes = true;
    receive(last, 10);
    last = fromUpstream();
    last.finishes = true;
    answer(last, 12);
    const std::size_t delivered = output.toUpstream.size();
    receive(fromClient(instruction::deliver, 100, 900'001), 5000);

    CHECK_EQUAL(delivered, output.toUpstream.size());
    CHECK_EQUAL(1, output.toEntries.size());
}

// Guards against open flows whose packets do not reach their upstream: an entry instance that
// missed the claim of the later flow sends its packets here for up to a minute.
TEST(flow_agent, DataOfALaterFlowIsDeniedLongAfterTheFormerOneHasEnded)
{
    openAndEndFlow();
    const std::size_t delivered = output.toUpstream.size();
    tickUntil(55'000);
    packet_head later = fromClient(instruction::deliver, 100, 9001);
    later.acknowledgement = 123'456'789;
    receive(later, 55'010);

    CHECK_EQUAL(delivered, output.toUpstream.size());
    CHECK_EQUAL(1, output.toEntries.size());
}

// The upstream must get the copies of the client's last packets, or the client repeats them.
TEST(flow_agent, LastPacketsOfAnEndedFlowReachItsUpstream)
{
    openAndEndFlow();
    const std::size_t delivered = output.toUpstream.size();
    packet_head last = fromClient(instruction::deliver, 0, 101);
    last.finishes = true;
    last.acknowledgement = 50'102;
    receive(last, 300);

    CHECK_EQUAL(delivered + 1, output.toUpstream.size());
}

// Otherwise an entry of another writer for the same address is taken for that of the upstream.
TEST(flow_agent, AnnouncesItsServiceToNewEntryInstancesAndAtIntervals)
{
    sendHello();
    CHECK_EQUAL(1, output.sent<service_announcement>().size());
    CHECK_EQUAL(serviceDigest("orders"), output.sent<service_announcement>().at(0).serviceDigest);
    for (std::int64_t at = 0; at < 10'000; at += 500) {
        agent.receiveMessage(entry.address, entry_hello { 1, "zone-a", 2 }, atMilliseconds(at));
        agent.tick(atMilliseconds(at));
    }

    CHECK_TRUE(output.sent<service_announcement>().size() >= 4);
    CHECK_TRUE(output.sent<service_announcement>().size() <= 6);
}

// An upstream at a reused address must not get packets for the service of its predecessor.
TEST(flow_agent, PacketForAnotherServiceDoesNotReachTheUpstream)
{
    packet_head head = opening();
    head.tag.value = serviceDigest("catalog");
    receive(head, 0);

    CHECK_EQUAL(0, output.toUpstream.size());
    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_TRUE(output.toEntries[0].head.tag.kind == instruction::refused);
}

// The entry instance must not treat it as a denial: the upstream did not get the packet.
TEST(flow_agent, MisdirectedPacketIsReturnedWithTheServiceOfTheAgent)
{
    packet_head head = fromClient();
    head.tag.value = serviceDigest("catalog");
    receive(head, 0);

    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_TRUE(output.toEntries[0].head.tag.kind == instruction::misdirected);
    CHECK_EQUAL(serviceDigest("orders"), output.toEntries[0].head.tag.value);
}

TEST(flow_agent, MisdirectedProbeIsNotDeniedByTheUpstream)
{
    sendHello();
    packet_head head = fromClient(instruction::probe);
    head.tag.value = serviceDigest("catalog");
    receive(head, 0);

    CHECK_TRUE(output.sent<flow_denial>().at(0).misdirected);
    CHECK_EQUAL(serviceDigest("orders"), output.sent<flow_denial>().at(0).serviceDigest);
}

TEST(flow_agent, RefusedOpeningPacketIsReturnedToItsEntryInstance)
{
    receive(fromClient(), 0, otherEntry);
    receive(opening(), 0, entry);
    returnLast(1);

    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_EQUAL(entry.address, output.toEntries[0].machine);
    CHECK_TRUE(output.toEntries[0].head.tag.kind == instruction::refused);
    CHECK_FALSE(output.toEntries[0].head.returned);
}

TEST(flow_agent, PacketOfAnAbsentFlowIsReturnedToItsEntryInstance)
{
    receive(fromClient(), 0);
    returnLast(1);

    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_TRUE(output.toEntries[0].head.tag.kind == instruction::absent);
}

TEST(flow_agent, ProbeOfAnAbsentFlowIsDenied)
{
    receive(fromClient(instruction::probe), 0);
    returnLast(1);

    CHECK_EQUAL(1, output.sent<flow_denial>().size());
    CHECK_EQUAL(0, output.toEntries.size());
}

// A stalled agent, a slow upstream or a lost datagram looks the same as an upstream that keeps the
// probe. A claim of this agent would redirect the flow from the upstream that holds it.
TEST(flow_agent, ProbeIsClaimedOnlyAfterAPacketOfItsFlow)
{
    sendHello();
    receive(fromClient(instruction::probe), 0);
    packet_head other = fromUpstream();
    other.destination.port = 2;
    other.opens = true;
    answer(other, 20);
    tickUntil(4000);
    CHECK_EQUAL(0, output.sent<flow_claim>().size());
    sendHello(2);
    CHECK_EQUAL(0, output.sent<flow_claim>().size());
    answer(fromUpstream(), 4010);

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
    CHECK_TRUE(output.sent<flow_claim>()[0].flows.at(0) == keyOfClientPacket(fromClient()));
}

// Upstreams answer a bare acknowledgement with nothing when they hold its flow.
TEST(flow_agent, UnansweredAcknowledgementsDoNotMakeTheUpstreamUnresponsive)
{
    sendHello();
    for (std::uint16_t port = 1; port <= 3; ++port) {
        packet_head head = fromClient(instruction::probe);
        head.source.port = port;
        receive(head, 0);
    }
    tickUntil(2000);

    CHECK_TRUE(output.sent<load_report>().back().responsive);
}

// A crashed upstream that is no longer listed gets probes only.
TEST(flow_agent, SilentUpstreamThatGetsProbesIsReportedAsUnresponsive)
{
    sendHello();
    for (std::uint16_t port = 1; port <= 2; ++port) {
        packet_head head = fromClient(instruction::probe, 200);
        head.source.port = port;
        receive(head, 0);
    }
    tickUntil(2000);

    CHECK_FALSE(output.sent<load_report>().back().responsive);
}

// A crashed upstream returns nothing. Claims for it would redirect flows of other upstreams to it.
TEST(flow_agent, ProbeAtASilentUpstreamIsNotClaimed)
{
    sendHello();
    receive(fromClient(instruction::probe), 0);
    agent.tick(atMilliseconds(40));

    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

TEST(flow_agent, ReturnedProbeIsNotClaimedLater)
{
    sendHello();
    receive(fromClient(instruction::probe), 0);
    returnLast(1);
    agent.tick(atMilliseconds(40));

    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

TEST(flow_agent, OpenedFlowIsClaimedOnce)
{
    sendHello();
    receive(opening(), 0);
    answer(fromUpstream(), 1);
    answer(fromUpstream(), 2);

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
}

TEST(flow_agent, AnswerToAnOpeningPacketDoesNotOpenTheFlow)
{
    sendHello();
    receive(opening(), 0);
    packet_head head = fromUpstream();
    head.opens = true;
    answer(head, 1);

    CHECK_EQUAL(0, output.sent<flow_claim>().size());
    CHECK_EQUAL(1, output.toClients.size());
}

// Guards against an entry instance that knows a former flow from the same port and sends the
// packets to its upstream, while the upstream of the present one sends nothing for seconds.
TEST(flow_agent, FlowWhoseClientAcknowledgesTheUpstreamIsClaimed)
{
    sendHello();
    receive(opening(), 0);
    packet_head head = fromUpstream();
    head.opens = true;
    head.sequence = 50'000;
    answer(head, 1);
    CHECK_EQUAL(0, output.sent<flow_claim>().size());
    for (const std::int64_t at : { 2, 3 }) {
        head = fromClient(instruction::deliver, 100, 101);
        head.acknowledgement = 50'001;
        receive(head, at);
    }

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
    CHECK_EQUAL(1, agent.openFlows());
}

// Two upstreams may answer copies of an opening packet; the client takes one answer.
TEST(flow_agent, FlowWhoseClientAcknowledgesAnotherUpstreamIsNotClaimed)
{
    sendHello();
    receive(opening(), 0);
    packet_head head = fromUpstream();
    head.opens = true;
    head.sequence = 50'000;
    answer(head, 1);
    for (const std::uint32_t acknowledged : { 49'999, 50'002, 90'001 }) {
        head = fromClient(instruction::deliver, 100, 101);
        head.acknowledgement = acknowledged;
        receive(head, 2);
    }

    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

// Claims of ended flows multiply what a restarted instance must receive at once, and some get lost.
TEST(flow_agent, RestartedEntryInstanceReceivesNoClaimsOfEndedFlows)
{
    sendHello(1);
    receive(opening(), 0);
    answer(fromUpstream(100), 1);
    packet_head last = fromClient();
    last.finishes = true;
    receive(last, 2);
    CHECK_EQUAL(1, agent.openFlows());
    last = fromUpstream();
    last.finishes = true;
    answer(last, 3);
    answer(fromUpstream(), 4);
    CHECK_EQUAL(0, agent.openFlows());
    output.messages.clear();
    sendHello(2);

    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

TEST(flow_agent, RestartedEntryInstanceReceivesClaimsOfAllFlows)
{
    for (int repetition = 0; repetition < 3; ++repetition)
        sendHello(1);
    receive(opening(), 0);
    answer(fromUpstream(), 1);
    output.messages.clear();
    sendHello(1);
    CHECK_EQUAL(0, output.sent<flow_claim>().size());
    sendHello(2);

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
}

// The claims that answer a first hello may be lost, but must not be repeated forever.
TEST(flow_agent, ClaimsOfAllFlowsAreRepeatedWithTheNextTwoHellosOnly)
{
    receive(opening(), 0);
    answer(fromUpstream(), 1);
    for (int hello = 0; hello < 6; ++hello)
        sendHello(1);

    CHECK_EQUAL(3, output.sent<flow_claim>().size());
}

// A crashed upstream does not answer, and the client sends its next copy only after 200 ms. A slow
// one may still accept the flow, so this is no refusal.
TEST(flow_agent, UnansweredOpeningPacketIsReturned)
{
    receive(opening(), 0);
    agent.tick(atMilliseconds(59));
    CHECK_EQUAL(0, output.toEntries.size());
    agent.tick(atMilliseconds(61));

    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_EQUAL(entry.address, output.toEntries[0].machine);
    CHECK_TRUE(output.toEntries[0].head.tag.kind == instruction::unanswered);
}

TEST(flow_agent, AnsweredOpeningPacketIsNotReturned)
{
    receive(opening(), 0);
    packet_head head = fromUpstream();
    head.opens = true;
    answer(head, 1);
    agent.tick(atMilliseconds(61));

    CHECK_EQUAL(0, output.toEntries.size());
}

TEST(flow_agent, SilentUpstreamIsReportedAsUnresponsive)
{
    sendHello();
    for (std::uint16_t port = 1; port <= 2; ++port) {
        packet_head head = opening();
        head.source.port = port;
        receive(head, 0);
    }
    agent.tick(atMilliseconds(61));

    CHECK_FALSE(output.sent<load_report>().back().responsive);
}

// A retransmission after the answer would count as running for seconds and keep new flows away.
TEST(flow_agent, RetransmittedRequestIsNotCountedAgain)
{
    receive(opening(), 0);
    answer(fromUpstream(), 1);
    receive(fromClient(instruction::deliver, 200), 2);
    CHECK_EQUAL(1, agent.load().running());
    answer(fromUpstream(500), 15);
    receive(fromClient(instruction::deliver, 200), 16);

    CHECK_EQUAL(0, agent.load().running());
}

TEST(flow_agent, RequestsBeyondTheSlotsAreHeld)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 5; ++port)
        request(port, port);

    CHECK_EQUAL(3, portsOfRequests().size());
    CHECK_EQUAL(2, agent.counters().held);
}

TEST(flow_agent, NewestHeldRequestIsReleasedFirst)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 5; ++port)
        request(port, port);
    answerRequest(1, 10);

    CHECK_EQUAL(4, portsOfRequests().size());
    CHECK_EQUAL(5, portsOfRequests().back());
}

TEST(flow_agent, UrgentHeldRequestIsReleasedBeforeNewerOnes)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 5; ++port)
        request(port, port, port == 4 ? 0 : 2);
    answerRequest(1, 10);

    CHECK_EQUAL(4, portsOfRequests().back());
}

// After an outage, urgent requests that are already late must not make new ones late as well.
TEST(flow_agent, RequestThatCanMeetItsObjectiveIsReleasedBeforeAnUrgentLateOne)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 4; ++port)
        request(port, port, 0);
    request(5, 150, 2);
    answerRequest(1, 160);

    CHECK_EQUAL(5, portsOfRequests().back());
}

// The client has waited since the first copy of its opening packet.
TEST(flow_agent, RequestAfterARetransmittedOpeningPacketCountsAsLate)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 4; ++port)
        request(port, port);
    request(5, 10, 1, 1);
    answerRequest(1, 20);

    CHECK_EQUAL(4, portsOfRequests().back());
}

// The upstream must be able to serve or refuse a held request before its client times out.
TEST(flow_agent, HeldRequestIsReleasedBeforeHalfOfItsTimeout)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 4; ++port)
        request(port, port);
    agent.tick(atMilliseconds(850));
    CHECK_EQUAL(3, portsOfRequests().size());
    agent.tick(atMilliseconds(950));

    CHECK_EQUAL(4, portsOfRequests().size());
}

TEST(flow_agent, HeldRequestThatIsRetransmittedIsSentOnce)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 4; ++port)
        request(port, port);
    packet_head copy = fromClient(instruction::deliver, 200);
    copy.source.port = 4;
    receive(copy, 200);
    answerRequest(1, 210);

    CHECK_EQUAL(4, portsOfRequests().size());
}

// Other upstreams would get the packets of the flow meanwhile.
TEST(flow_agent, ProbeIsNotHeldWhileTheUpstreamIsBusy)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 3; ++port)
        request(port, port);
    receive(fromClient(instruction::probe, 200), 10);

    CHECK_EQUAL(client.port, portsOfRequests().back());
}

// The entry instance has ended its search by the claim, and no other upstream got the packet.
TEST(flow_agent, ReturnedProbeOfAClaimedFlowGoesBackToItsEntryInstance)
{
    sendHello();
    receive(opening(), 0);
    answer(fromUpstream(), 1);
    receive(fromClient(instruction::probe, 200), 1000);
    returnLast(1001);

    CHECK_EQUAL(1, output.sent<flow_denial>().size());
    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_TRUE(output.toEntries[0].head.tag.kind == instruction::absent);
    CHECK_EQUAL(200, output.toEntries[0].head.payloadSize);
    output.messages.clear();
    sendHello(2);
    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

// The packet would reach other upstreams as a probe, and its own one only seconds later.
TEST(flow_agent, ProbeOfAnAnsweredFlowIsNotHeld)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 3; ++port)
        request(port, port);
    receive(opening(), 10);
    packet_head head = fromUpstream();
    head.opens = true;
    answer(head, 10);
    receive(fromClient(instruction::probe, 200), 11);

    CHECK_EQUAL(4, portsOfRequests().size());
    CHECK_EQUAL(client.port, portsOfRequests().back());
}

// The upstream of the flow must get its packets in order, and no later than other upstreams.
TEST(flow_agent, ProbeReleasesTheHeldPacketsOfItsFlow)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 5; ++port)
        request(port, port);
    packet_head probe = fromClient(instruction::probe, 200, 300);
    probe.source.port = 4;
    receive(probe, 10);

    CHECK_EQUAL(5, portsOfRequests().size());
    const std::size_t last = output.toUpstream.size() - 1;
    CHECK_EQUAL(4, output.toUpstream[last - 1].source.port);
    CHECK_EQUAL(100, output.toUpstream[last - 1].sequence);
    CHECK_EQUAL(4, output.toUpstream[last].source.port);
    CHECK_EQUAL(300, output.toUpstream[last].sequence);
    answerRequest(1, 20);
    CHECK_EQUAL(5, portsOfRequests().size());
    answerRequest(4, 21);
    CHECK_EQUAL(5, portsOfRequests().back());
}

// A full upstream refuses a late copy of the opening packet of a flow that it holds.
TEST(flow_agent, RefusedCopyOfAnOpeningPacketKeepsTheOpenFlow)
{
    sendHello();
    receive(opening(), 0);
    answer(fromUpstream(), 1);
    receive(opening(), 200, otherEntry);
    returnLast(201);
    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_TRUE(output.toEntries[0].head.tag.kind == instruction::refused);
    CHECK_EQUAL(1, agent.openFlows());
    output.messages.clear();
    sendHello(2);

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
}

// The first answer of the upstream may come later than the refused copy.
TEST(flow_agent, RefusedCopyOfAnOpeningPacketKeepsTheHeldRequest)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 4; ++port)
        request(port, port);
    packet_head copy = opening();
    copy.source.port = 4;
    receive(copy, 200);
    returnLast(201);
    answerRequest(1, 210);

    CHECK_EQUAL(4, portsOfRequests().size());
    CHECK_EQUAL(4, portsOfRequests().back());
}

// A request that no longer counts keeps the hold queue from holding others.
TEST(flow_agent, RefusedCopyOfAnOpeningPacketKeepsTheRunningRequest)
{
    request(1, 0);
    packet_head copy = opening();
    copy.source.port = 1;
    receive(copy, 200);
    returnLast(201);

    CHECK_EQUAL(1, agent.load().running());
}

// A request may be held for longer than an unopened flow lives without a packet of its client.
TEST(flow_agent, FlowWithAHeldRequestDoesNotExpire)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 3; ++port)
        request(port, port);
    receive(opening(), 10);
    packet_head head = fromUpstream();
    head.opens = true;
    answer(head, 10);
    head = fromClient(instruction::deliver, 200);
    head.tag.timeout = std::chrono::milliseconds { 30'000 };
    receive(head, 10);
    agent.tick(atMilliseconds(2000));
    CHECK_EQUAL(3, portsOfRequests().size());
    agent.tick(atMilliseconds(5500));
    agent.tick(atMilliseconds(5501));

    CHECK_EQUAL(client.port, portsOfRequests().back());
}

// The answers of the upstream are still in the socket when the process goes on.
TEST(flow_agent, StalledAgentDoesNotCountUnreadAnswersAsSilence)
{
    sendHello();
    for (std::uint16_t port = 1; port <= 2; ++port) {
        packet_head head = opening();
        head.source.port = port;
        receive(head, 0);
    }
    agent.tick(atMilliseconds(0));
    agent.tick(atMilliseconds(500));
    CHECK_EQUAL(0, output.toEntries.size());
    CHECK_TRUE(output.sent<load_report>().back().responsive);
    packet_head reply = fromUpstream();
    reply.opens = true;
    reply.destination.port = 1;
    answer(reply, 501);
    agent.tick(atMilliseconds(559));
    CHECK_EQUAL(0, output.toEntries.size());
    agent.tick(atMilliseconds(561));

    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_EQUAL(2, output.toEntries[0].head.source.port);
}

// A process with little processor time is late each time; a silent upstream must still be noticed.
TEST(flow_agent, AgentThatIsOftenLateReturnsUnansweredOpeningPackets)
{
    receive(opening(), 0);
    for (std::int64_t at = 0; at <= 2000; at += 100)
        agent.tick(atMilliseconds(at));

    CHECK_EQUAL(1, output.toEntries.size());
}

// The client has taken the answer of another upstream, so this one holds no flow to keep waiting.
TEST(flow_agent, RequestThatAcknowledgesAnotherUpstreamIsNotHeld)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 3; ++port)
        request(port, port);
    receive(opening(), 10);
    packet_head head = fromUpstream();
    head.opens = true;
    head.sequence = 5000;
    answer(head, 10);
    head = fromClient(instruction::deliver, 200);
    head.acknowledgement = 70'000;
    receive(head, 11);

    CHECK_EQUAL(4, portsOfRequests().size());
    CHECK_EQUAL(client.port, portsOfRequests().back());
}

TEST(flow_agent, RequestThatAcknowledgesTheUpstreamIsHeld)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 3; ++port)
        request(port, port);
    for (const std::uint32_t distance : { 0U, 1U }) {
        packet_head head = opening();
        head.source.port = static_cast<std::uint16_t>(10 + distance);
        receive(head, 10);
        head = fromUpstream();
        head.destination.port = static_cast<std::uint16_t>(10 + distance);
        head.opens = true;
        head.sequence = 0xffffffff;
        answer(head, 10);
        head = fromClient(instruction::deliver, 200);
        head.source.port = static_cast<std::uint16_t>(10 + distance);
        head.acknowledgement = 0xffffffff + distance;
        receive(head, 11);
    }

    CHECK_EQUAL(3, portsOfRequests().size());
}

// The upstream may need seconds for its answer; meanwhile the search would send the packet to all
// other upstreams.
TEST(flow_agent, ProbeThatAcknowledgesTheUpstreamIsClaimedToItsSender)
{
    sendHello();
    receive(opening(), 0);
    packet_head head = fromUpstream();
    head.opens = true;
    head.sequence = 5000;
    answer(head, 1);
    head = fromClient(instruction::probe, 200);
    head.acknowledgement = 5001;
    receive(head, 2, otherEntry);

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
    CHECK_EQUAL(otherEntry.address, output.messages.back().first);
}

// Another upstream may have answered a copy of the opening packet, and the client took that answer.
TEST(flow_agent, ProbeThatAcknowledgesAnotherUpstreamIsNotClaimed)
{
    sendHello();
    receive(opening(), 0);
    packet_head head = fromUpstream();
    head.opens = true;
    head.sequence = 5000;
    answer(head, 1);
    head = fromClient(instruction::probe, 200);
    head.acknowledgement = 4999;
    receive(head, 2, otherEntry);

    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

TEST(flow_agent, SummariesAreForwardedToOtherEntryInstances)
{
    sendHello();
    upstream_list list;
    list.revision = { 1, 4 };
    agent.receiveMessage(
            60, view_page { document_kind::upstreams, 77, {}, 0, 1, documents.encode(list) },
            atMilliseconds(10));

    const auto summary = output.sent<view_summary>();
    CHECK_EQUAL(1, summary.size());
    CHECK_TRUE(summary[0].upstreamRevision == list.revision);
}

// The limit of requests at the upstream wrapped around to 0, so that all requests were held.
TEST(flow_agent, LargestNumberOfSlotsHoldsNoRequest)
{
    sendHello(1, std::numeric_limits<std::uint32_t>::max());
    request(1, 0);
    request(2, 0);

    CHECK_EQUAL(2, portsOfRequests().size());
}

// The upstream would work on requests whose clients have left, in the places of others.
TEST(flow_agent, HeldRequestOfALeavingClientIsDropped)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 5; ++port)
        request(port, port);
    endFlow(4, 50, true);
    endFlow(5, 150, false);
    answerRequest(1, 200);

    CHECK_EQUAL(3, portsOfRequests().size());
    CHECK_EQUAL(2, agent.counters().callerLeft);
}

// A client that sends nothing after its request may close its side at once and await the answer.
TEST(flow_agent, HeldRequestOfAHalfClosedFlowIsReleased)
{
    sendHello(1, 2);
    for (std::uint16_t port = 1; port <= 4; ++port)
        request(port, port);
    endFlow(4, 10, false);
    answerRequest(1, 20);

    CHECK_EQUAL(4, portsOfRequests().back());
}

// Places of requests whose clients had left stayed taken for 3 s; given away at once, they would
// have filled the queue of the upstream, which still works on them.
TEST(flow_agent, RunningRequestOfALeavingClientCountsForThreeServiceTimes)
{
    sendHello(1, 2);
    request(1, 0);
    answerRequest(1, 20);
    for (std::uint16_t port = 2; port <= 5; ++port)
        request(port, 100);
    endFlow(2, 110, true);
    agent.tick(atMilliseconds(159));
    CHECK_EQUAL(3, agent.load().running());
    CHECK_EQUAL(4, portsOfRequests().size());
    agent.tick(atMilliseconds(160));

    CHECK_EQUAL(5, portsOfRequests().size());
}

// A stalled upstream must not get more requests each time that clients give up.
TEST(flow_agent, RequestWithoutAnAnswerCountsForThreeSeconds)
{
    request(1, 0);
    agent.tick(atMilliseconds(2999));
    CHECK_EQUAL(1, agent.load().running());
    agent.tick(atMilliseconds(3000));

    CHECK_EQUAL(0, agent.load().running());
}

// Clients that open flows ahead of their requests had each first request counted as late.
TEST(flow_agent, FirstRequestOfAFlowOpenedAheadIsNotLate)
{
    sendHello(1, 2);
    packet_head head = opening();
    head.source.port = 5;
    receive(head, 0);
    head = fromUpstream();
    head.destination.port = 5;
    head.opens = true;
    answer(head, 1);
    for (std::uint16_t port = 1; port <= 4; ++port)
        request(port, 1000);
    head = fromClient(instruction::deliver, 200);
    head.source.port = 5;
    receive(head, 1010);
    answerRequest(1, 1020);

    CHECK_EQUAL(5, portsOfRequests().back());
}

// A refused client must be able to open the same flow elsewhere, and its packets must not be taken
// for those of a flow here.
TEST(flow_agent, OpeningPacketIsRefusedUnderOverloadBeforeTheUpstreamGetsIt)
{
    flow_agent controlled { { 3, "orders", std::nullopt, { .overloadControl = true } },
                            codec,
                            documents,
                            output,
                            observer };
    controlled.receiveMessage(entry.address, entry_hello { 1, "zone-a", 2 }, atMilliseconds(0));
    const auto open = [&](std::uint16_t port, std::int64_t at, std::uint32_t copy = 0) {
        packet_head head = opening();
        head.source.port = port;
        head.acknowledgement = copy;
        head.tag.latencyObjective = std::chrono::milliseconds { 200 };
        controlled.receiveFromEntry(entry, fake_codec::encode(head), atMilliseconds(at));
    };
    open(1, 0);
    packet_head head = fromClient(instruction::deliver, 200);
    head.source.port = 1;
    controlled.receiveFromEntry(entry, fake_codec::encode(head), atMilliseconds(1));
    head = fromUpstream(500);
    head.destination.port = 1;
    controlled.receiveFromUpstream(fake_codec::encode(head), atMilliseconds(49));
    for (std::uint16_t port = 2; port <= 4; ++port)
        open(port, 100);
    CHECK_EQUAL(0, output.toEntries.size());
    output.toUpstream.clear();
    open(5, 101);

    CHECK_EQUAL(0, output.toUpstream.size());
    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_TRUE(output.toEntries[0].head.tag.kind == instruction::refused);
    CHECK_EQUAL(1, controlled.counters().overloaded);
    // The upstream has accepted an earlier copy of this one.
    open(4, 102, 1);
    CHECK_EQUAL(1, output.toUpstream.size());
}
