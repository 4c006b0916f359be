#include "flow_agent_fixture.h"

#include <limits>

using namespace oriolehold;
using namespace oriolehold::flow;

namespace {

struct agent_fixture : public flow_agent_fixture
{
    static packet_head finishing(packet_head head)
    {
        head.finishes = true;
        return head;
    }
    static packet_head acknowledging(std::uint32_t sequence, packet_head head)
    {
        head.acknowledgement = sequence;
        return head;
    }
    static packet_head withTagOf(std::string_view serviceName, packet_head head)
    {
        head.tag.value = serviceDigest(serviceName);
        return head;
    }
    // The upstream takes a flow and sends its first packet.
    void openFlow()
    {
        receive(opening(), 0);
        answer(fromUpstream(), 1);
    }
    // Opens a flow, answers 100 bytes and ends it from both sides.
    void openAndEndFlow()
    {
        receive(opening(), 0);
        accept(1, 50'000);
        packet_head head = finishing(fromUpstream(100));
        head.sequence = 50'001;
        answer(head, 10);
        receive(lastPacket(), 20);
    }
    // The last packet of the client on the flow of openAndEndFlow().
    static packet_head lastPacket()
    {
        return acknowledging(50'102, finishing(fromClient(instruction::deliver, 0, 101)));
    }
    // Data of a flow that the client opened later from the same port, at another upstream.
    static packet_head dataOfLaterFlow(instruction kind = instruction::deliver)
    {
        return acknowledging(123'456'789, fromClient(kind, 100, 9001));
    }
    // The upstream accepts a flow with the sequence number 5000; another entry instance probes for
    // its owner by a packet that acknowledges the given number.
    void probeAcceptedFlow(std::uint32_t acknowledged)
    {
        sendHello();
        receive(opening(), 0);
        accept(1, 5000);
        receive(acknowledging(acknowledged, fromClient(instruction::probe, 200)), 2, otherEntry);
    }
    // Opens a flow and sends its request. copy is the number of earlier copies of its opening
    // packet.
    void request(std::uint16_t port, std::int64_t at, std::uint8_t priority = 1,
                 std::uint32_t copy = 0)
    {
        receive(opening(port, copy), at);
        accept(at, 0, port);
        packet_head head = fromClient(instruction::deliver, 200, 100, port);
        head.tag.priority = priority;
        head.tag.latencyObjective = 100ms;
        head.tag.timeout = 2000ms;
        receive(head, at);
    }
    // Sends requests on as many flows, one per millisecond, to an upstream with two slots. The
    // agent passes on three of them.
    void sendRequests(std::uint16_t count)
    {
        sendHello(1, 2);
        for (std::uint16_t port = 1; port <= count; ++port)
            request(port, port);
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
        packet_head head = fromClient(instruction::deliver, 0, 300, port);
        head.resets = resets;
        head.finishes = !resets;
        receive(head, at);
    }
};

} // namespace

TEST_GROUP_BASE(flow_agent, agent_fixture) {};

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
    accept(5001, 77000);
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
    receive(dataOfLaterFlow(), 5000);
    receive(dataOfLaterFlow(instruction::probe), 5001);

    CHECK_EQUAL(delivered, output.toUpstream.size());
    CHECK_TRUE(onlyReturned(instruction::absent));
    CHECK_EQUAL(1, output.sent<flow_denial>().size());
    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

// The same for a restarted agent, which has not seen the answer to the opening packet.
TEST(flow_agent, RestartedAgentDeniesDataOfALaterFlow)
{
    answer(fromUpstream(100), 0);
    receive(finishing(fromClient(instruction::deliver, 0, 101)), 10);
    answer(finishing(fromUpstream()), 12);
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
    receive(dataOfLaterFlow(), 55'010);

    CHECK_EQUAL(delivered, output.toUpstream.size());
    CHECK_EQUAL(1, output.toEntries.size());
}

// The upstream must get the copies of the client's last packets, or the client repeats them.
TEST(flow_agent, LastPacketsOfAnEndedFlowReachItsUpstream)
{
    openAndEndFlow();
    const std::size_t delivered = output.toUpstream.size();
    receive(lastPacket(), 300);

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
        tick(at);
    }

    CHECK_TRUE(output.sent<service_announcement>().size() >= 4);
    CHECK_TRUE(output.sent<service_announcement>().size() <= 6);
}

// An upstream at a reused address must not get packets for the service of its predecessor.
TEST(flow_agent, PacketForAnotherServiceDoesNotReachTheUpstream)
{
    receive(withTagOf("catalog", opening()), 0);

    CHECK_EQUAL(0, output.toUpstream.size());
    CHECK_TRUE(onlyReturned(instruction::refused));
}

// The entry instance must not treat it as a denial: the upstream did not get the packet.
TEST(flow_agent, MisdirectedPacketIsReturnedWithTheServiceOfTheAgent)
{
    receive(withTagOf("catalog", fromClient()), 0);

    CHECK_TRUE(onlyReturned(instruction::misdirected));
    CHECK_EQUAL(serviceDigest("orders"), output.toEntries[0].head.tag.value);
}

TEST(flow_agent, MisdirectedProbeIsNotDeniedByTheUpstream)
{
    sendHello();
    receive(withTagOf("catalog", fromClient(instruction::probe)), 0);

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

    CHECK_TRUE(onlyReturned(instruction::absent));
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
    accept(20, 0, 2);
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
    for (std::uint16_t port = 1; port <= 3; ++port)
        receive(fromClient(instruction::probe, 0, 100, port), 0);
    tickUntil(2000);

    CHECK_TRUE(output.sent<load_report>().back().responsive);
}

// A crashed upstream that is no longer listed gets probes only.
TEST(flow_agent, SilentUpstreamThatGetsProbesIsReportedAsUnresponsive)
{
    sendHello();
    for (std::uint16_t port = 1; port <= 2; ++port)
        receive(fromClient(instruction::probe, 200, 100, port), 0);
    tickUntil(2000);

    CHECK_FALSE(output.sent<load_report>().back().responsive);
}

// A crashed upstream returns nothing. Claims for it would redirect flows of other upstreams to it.
TEST(flow_agent, ProbeAtASilentUpstreamIsNotClaimed)
{
    sendHello();
    receive(fromClient(instruction::probe), 0);
    tick(40);

    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

TEST(flow_agent, ReturnedProbeIsNotClaimedLater)
{
    sendHello();
    receive(fromClient(instruction::probe), 0);
    returnLast(1);
    tick(40);

    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

TEST(flow_agent, OpenedFlowIsClaimedOnce)
{
    sendHello();
    openFlow();
    answer(fromUpstream(), 2);

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
}

TEST(flow_agent, AnswerToAnOpeningPacketDoesNotOpenTheFlow)
{
    sendHello();
    receive(opening(), 0);
    accept(1);

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
    receive(finishing(fromClient()), 2);
    CHECK_EQUAL(1, agent.openFlows());
    answer(finishing(fromUpstream()), 3);
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
    openFlow();
    output.messages.clear();
    sendHello(1);
    CHECK_EQUAL(0, output.sent<flow_claim>().size());
    sendHello(2);

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
}

// The claims that answer a first hello may be lost, but must not be repeated forever.
TEST(flow_agent, ClaimsOfAllFlowsAreRepeatedWithTheNextTwoHellosOnly)
{
    openFlow();
    for (int hello = 0; hello < 6; ++hello)
        sendHello(1);

    CHECK_EQUAL(3, output.sent<flow_claim>().size());
}

// A crashed upstream does not answer, and the client sends its next copy only after 200 ms. A slow
// one may still accept the flow, so this is no refusal.
TEST(flow_agent, UnansweredOpeningPacketIsReturned)
{
    receive(opening(), 0);
    tick(59);
    CHECK_EQUAL(0, output.toEntries.size());
    tick(61);

    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_EQUAL(entry.address, output.toEntries[0].machine);
    CHECK_TRUE(output.toEntries[0].head.tag.kind == instruction::unanswered);
}

TEST(flow_agent, AnsweredOpeningPacketIsNotReturned)
{
    receive(opening(), 0);
    accept(1);
    tick(61);

    CHECK_EQUAL(0, output.toEntries.size());
}

TEST(flow_agent, SilentUpstreamIsReportedAsUnresponsive)
{
    sendHello();
    for (std::uint16_t port = 1; port <= 2; ++port)
        receive(opening(port), 0);
    tick(61);

    CHECK_FALSE(output.sent<load_report>().back().responsive);
}

// A retransmission after the answer would count as running for seconds and keep new flows away.
TEST(flow_agent, RetransmittedRequestIsNotCountedAgain)
{
    openFlow();
    receive(fromClient(instruction::deliver, 200), 2);
    CHECK_EQUAL(1, agent.load().running());
    answer(fromUpstream(500), 15);
    receive(fromClient(instruction::deliver, 200), 16);

    CHECK_EQUAL(0, agent.load().running());
}

TEST(flow_agent, RequestsBeyondTheSlotsAreHeld)
{
    sendRequests(5);

    CHECK_EQUAL(3, portsOfRequests().size());
    CHECK_EQUAL(2, agent.counters().held);
}

TEST(flow_agent, NewestHeldRequestIsReleasedFirst)
{
    sendRequests(5);
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
    sendRequests(4);
    request(5, 10, 1, 1);
    answerRequest(1, 20);

    CHECK_EQUAL(4, portsOfRequests().back());
}

// The upstream must be able to serve or refuse a held request before its client times out.
TEST(flow_agent, HeldRequestIsReleasedBeforeHalfOfItsTimeout)
{
    sendRequests(4);
    tick(850);
    CHECK_EQUAL(3, portsOfRequests().size());
    tick(950);

    CHECK_EQUAL(4, portsOfRequests().size());
}

TEST(flow_agent, HeldRequestThatIsRetransmittedIsSentOnce)
{
    sendRequests(4);
    receive(fromClient(instruction::deliver, 200, 100, 4), 200);
    answerRequest(1, 210);

    CHECK_EQUAL(4, portsOfRequests().size());
}

// Other upstreams would get the packets of the flow meanwhile.
TEST(flow_agent, ProbeIsNotHeldWhileTheUpstreamIsBusy)
{
    sendRequests(3);
    receive(fromClient(instruction::probe, 200), 10);

    CHECK_EQUAL(client.port, portsOfRequests().back());
}

// The entry instance has ended its search by the claim, and no other upstream got the packet.
TEST(flow_agent, ReturnedProbeOfAClaimedFlowGoesBackToItsEntryInstance)
{
    sendHello();
    openFlow();
    receive(fromClient(instruction::probe, 200), 1000);
    returnLast(1001);

    CHECK_EQUAL(1, output.sent<flow_denial>().size());
    CHECK_TRUE(onlyReturned(instruction::absent));
    CHECK_EQUAL(200, output.toEntries[0].head.payloadSize);
    output.messages.clear();
    sendHello(2);
    CHECK_EQUAL(0, output.sent<flow_claim>().size());
}

// The packet would reach other upstreams as a probe, and its own one only seconds later.
TEST(flow_agent, ProbeOfAnAnsweredFlowIsNotHeld)
{
    sendRequests(3);
    receive(opening(), 10);
    accept(10);
    receive(fromClient(instruction::probe, 200), 11);

    CHECK_EQUAL(4, portsOfRequests().size());
    CHECK_EQUAL(client.port, portsOfRequests().back());
}

// The upstream of the flow must get its packets in order, and no later than other upstreams.
TEST(flow_agent, ProbeReleasesTheHeldPacketsOfItsFlow)
{
    sendRequests(5);
    receive(fromClient(instruction::probe, 200, 300, 4), 10);

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
    openFlow();
    receive(opening(), 200, otherEntry);
    returnLast(201);
    CHECK_TRUE(onlyReturned(instruction::refused));
    CHECK_EQUAL(1, agent.openFlows());
    output.messages.clear();
    sendHello(2);

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
}

// The first answer of the upstream may come later than the refused copy.
TEST(flow_agent, RefusedCopyOfAnOpeningPacketKeepsTheHeldRequest)
{
    sendRequests(4);
    receive(opening(4), 200);
    returnLast(201);
    answerRequest(1, 210);

    CHECK_EQUAL(4, portsOfRequests().size());
    CHECK_EQUAL(4, portsOfRequests().back());
}

// A request that no longer counts keeps the hold queue from holding others.
TEST(flow_agent, RefusedCopyOfAnOpeningPacketKeepsTheRunningRequest)
{
    request(1, 0);
    receive(opening(1), 200);
    returnLast(201);

    CHECK_EQUAL(1, agent.load().running());
}

// A request may be held for longer than an unopened flow lives without a packet of its client.
TEST(flow_agent, FlowWithAHeldRequestDoesNotExpire)
{
    sendRequests(3);
    receive(opening(), 10);
    accept(10);
    packet_head head = fromClient(instruction::deliver, 200);
    head.tag.timeout = 30'000ms;
    receive(head, 10);
    tick(2000);
    CHECK_EQUAL(3, portsOfRequests().size());
    tick(5500);
    tick(5501);

    CHECK_EQUAL(client.port, portsOfRequests().back());
}

// The answers of the upstream are still in the socket when the process goes on.
TEST(flow_agent, StalledAgentDoesNotCountUnreadAnswersAsSilence)
{
    sendHello();
    for (std::uint16_t port = 1; port <= 2; ++port)
        receive(opening(port), 0);
    tick(0);
    tick(500);
    CHECK_EQUAL(0, output.toEntries.size());
    CHECK_TRUE(output.sent<load_report>().back().responsive);
    accept(501, 0, 1);
    tick(559);
    CHECK_EQUAL(0, output.toEntries.size());
    tick(561);

    CHECK_EQUAL(1, output.toEntries.size());
    CHECK_EQUAL(2, output.toEntries[0].head.source.port);
}

// A process with little processor time is late each time; a silent upstream must still be noticed.
TEST(flow_agent, AgentThatIsOftenLateReturnsUnansweredOpeningPackets)
{
    receive(opening(), 0);
    for (std::int64_t at = 0; at <= 2000; at += 100)
        tick(at);

    CHECK_EQUAL(1, output.toEntries.size());
}

// The client has taken the answer of another upstream, so this one holds no flow to keep waiting.
TEST(flow_agent, RequestThatAcknowledgesAnotherUpstreamIsNotHeld)
{
    sendRequests(3);
    receive(opening(), 10);
    accept(10, 5000);
    receive(acknowledging(70'000, fromClient(instruction::deliver, 200)), 11);

    CHECK_EQUAL(4, portsOfRequests().size());
    CHECK_EQUAL(client.port, portsOfRequests().back());
}

TEST(flow_agent, RequestThatAcknowledgesTheUpstreamIsHeld)
{
    sendRequests(3);
    for (const std::uint32_t distance : { 0U, 1U }) {
        const auto port = static_cast<std::uint16_t>(10 + distance);
        receive(opening(port), 10);
        accept(10, 0xffffffff, port);
        receive(acknowledging(0xffffffff + distance,
                              fromClient(instruction::deliver, 200, 100, port)),
                11);
    }

    CHECK_EQUAL(3, portsOfRequests().size());
}

// The upstream may need seconds for its answer; meanwhile the search would send the packet to all
// other upstreams.
TEST(flow_agent, ProbeThatAcknowledgesTheUpstreamIsClaimedToItsSender)
{
    probeAcceptedFlow(5001);

    CHECK_EQUAL(1, output.sent<flow_claim>().size());
    CHECK_EQUAL(otherEntry.address, output.messages.back().first);
}

// Another upstream may have answered a copy of the opening packet, and the client took that answer.
TEST(flow_agent, ProbeThatAcknowledgesAnotherUpstreamIsNotClaimed)
{
    probeAcceptedFlow(4999);

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
    sendRequests(5);
    endFlow(4, 50, true);
    endFlow(5, 150, false);
    answerRequest(1, 200);

    CHECK_EQUAL(3, portsOfRequests().size());
    CHECK_EQUAL(2, agent.counters().callerLeft);
}

// A client that sends nothing after its request may close its side at once and await the answer.
TEST(flow_agent, HeldRequestOfAHalfClosedFlowIsReleased)
{
    sendRequests(4);
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
    tick(159);
    CHECK_EQUAL(3, agent.load().running());
    CHECK_EQUAL(4, portsOfRequests().size());
    tick(160);

    CHECK_EQUAL(5, portsOfRequests().size());
}

// A stalled upstream must not get more requests each time that clients give up.
TEST(flow_agent, RequestWithoutAnAnswerCountsForThreeSeconds)
{
    request(1, 0);
    tick(2999);
    CHECK_EQUAL(1, agent.load().running());
    tick(3000);

    CHECK_EQUAL(0, agent.load().running());
}

// Clients that open flows ahead of their requests had each first request counted as late.
TEST(flow_agent, FirstRequestOfAFlowOpenedAheadIsNotLate)
{
    sendHello(1, 2);
    receive(opening(5), 0);
    accept(1, 0, 5);
    for (std::uint16_t port = 1; port <= 4; ++port)
        request(port, 1000);
    receive(fromClient(instruction::deliver, 200, 100, 5), 1010);
    answerRequest(1, 1020);

    CHECK_EQUAL(5, portsOfRequests().back());
}

namespace {

struct controlled_agent_fixture : public flow_agent_fixture
{
    controlled_agent_fixture()
        : flow_agent_fixture({ 3, "orders", std::nullopt, { .overloadControl = true } })
    { }

    void open(std::uint16_t port, std::int64_t at, std::uint32_t copy = 0)
    {
        packet_head head = opening(port, copy);
        head.tag.latencyObjective = 200ms;
        receive(head, at);
    }
};

} // namespace

TEST_GROUP_BASE(overloaded_agent, controlled_agent_fixture) {};

// A refused client must be able to open the same flow elsewhere, and its packets must not be taken
// for those of a flow here.
TEST(overloaded_agent, OpeningPacketIsRefusedBeforeTheUpstreamGetsIt)
{
    sendHello();
    open(1, 0);
    receive(fromClient(instruction::deliver, 200, 100, 1), 1);
    answer(fromUpstream(500, 1), 49);
    for (std::uint16_t port = 2; port <= 4; ++port)
        open(port, 100);
    CHECK_EQUAL(0, output.toEntries.size());
    output.toUpstream.clear();
    open(5, 101);

    CHECK_EQUAL(0, output.toUpstream.size());
    CHECK_TRUE(onlyReturned(instruction::refused));
    CHECK_EQUAL(1, agent.counters().overloaded);
    // The upstream has accepted an earlier copy of this one.
    open(4, 102, 1);
    CHECK_EQUAL(1, output.toUpstream.size());
}
