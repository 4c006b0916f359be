#include "entry_balancer_fixture.h"

// Evacuated availability zones at an entry instance and at an agent.

using namespace oriolehold;
using namespace oriolehold::flow;

TEST_GROUP_BASE(entry_evacuation, entry_balancer_fixture)
{
    std::uint64_t evacuationRevision = 0;

    // Publishes three upstreams of "orders", of which the first is in zone-a, and the set of
    // evacuated zones.
    void evacuate(std::vector<std::string> zones, std::int64_t at)
    {
        for (upstream_record &item : upstreams.upstreams)
            item.zone = item.address.address == 1 ? "zone-a" : "zone-b";
        upstreams.evacuation = { { era, ++evacuationRevision }, std::move(zones) };
        publish(at);
    }
    // Opens flows from new ports. Returns the machines that got their opening packets.
    std::set<std::uint32_t> placeFlows(std::uint16_t firstPort, std::int64_t at)
    {
        output.toAgents.clear();
        for (std::uint16_t i = 0; i < 60; ++i) {
            packet_head head = opening();
            head.source.port = static_cast<std::uint16_t>(firstPort + i);
            receive(head, at);
        }
        std::set<std::uint32_t> machines;
        for (const sent_packet &sent : output.toAgents)
            machines.insert(sent.machine);
        return machines;
    }
    std::vector<upstream_notice> noticesTo(std::uint32_t machine) const
    {
        std::vector<upstream_notice> notices;
        for (const auto &[receiver, message] : output.messages) {
            if (const auto *notice = std::get_if<upstream_notice>(&message);
                notice != nullptr && receiver == machine)
                notices.push_back(*notice);
        }
        return notices;
    }
};

TEST(entry_evacuation, NewFlowsLeaveTheZoneAndReturnWhenItIsTakenBack)
{
    evacuate({ "zone-a" }, 0);
    CHECK_TRUE(placeFlows(1000, 10) == std::set<std::uint32_t>({ 2, 3 }));
    evacuate({}, 1000);
    CHECK_TRUE(placeFlows(2000, 1010) == std::set<std::uint32_t>({ 1, 2, 3 }));
}

TEST(entry_evacuation, OpenFlowsStay)
{
    publish(0);
    receive(opening(), 10);
    const std::uint32_t owner = output.toAgents.back().machine;
    balancer.receiveMessage(owner, flow_claim { { { client, ordersAddress } } },
                            atMilliseconds(12));
    evacuate({ "zone-a", "zone-b" }, 20);
    output.toAgents.clear();
    receive(packet(), 30);

    CHECK_EQUAL(1, output.toAgents.size());
    CHECK_EQUAL(owner, output.toAgents.front().machine);
}

// Guards against the copy of an opening packet that follows the first one into the zone.
TEST(entry_evacuation, CopyOfAnUnclaimedOpeningPacketIsPlacedElsewhere)
{
    evacuate({ "zone-b" }, 0);
    receive(opening(), 10);
    CHECK_EQUAL(1, output.toAgents.back().machine);
    evacuate({ "zone-a" }, 100);
    receive(opening(1), 210);

    CHECK_TRUE(output.toAgents.back().machine != 1);
}

TEST(entry_evacuation, OpeningPacketIsResetWhenAllZonesAreEvacuated)
{
    evacuate({ "zone-a", "zone-b" }, 0);
    receive(opening(), 10);

    CHECK_EQUAL(0, output.toAgents.size());
    CHECK_EQUAL(1, output.toClients.size());
    CHECK_EQUAL(1, balancer.counters().refusedEvacuated);
}

// Guards against flows that follow an old list: the agent knows more, and its refusal must not be
// followed by further tries in the same zone.
TEST(entry_evacuation, AgentThatReportsAnEvacuationGetsNoFlows)
{
    publish(0);
    for (const std::uint32_t machine : { 1U, 2U, 3U })
        balancer.receiveMessage(machine, load_report { .bootId = machine }, atMilliseconds(10));
    capacity_report report;
    report.evacuated = true;
    balancer.receiveMessage(1, report, atMilliseconds(10));
    CHECK_TRUE(placeFlows(1000, 20) == std::set<std::uint32_t>({ 2, 3 }));
    // Without further capacity reports the limit has ended.
    const std::int64_t later = 100 + capacity_report::lifetime.count();
    for (const std::uint32_t machine : { 1U, 2U, 3U })
        balancer.receiveMessage(machine, load_report { .bootId = machine }, atMilliseconds(later));
    CHECK_TRUE(placeFlows(2000, later + 10) == std::set<std::uint32_t>({ 1, 2, 3 }));
}

// Guards against a list whose set of evacuated zones was read before the present one.
TEST(entry_evacuation, OlderSetDoesNotReplaceANewerOne)
{
    evacuate({ "zone-a" }, 0);
    upstreams.evacuation = { { era, evacuationRevision - 1 }, {} };
    publish(500);

    CHECK_TRUE(placeFlows(1000, 510) == std::set<std::uint32_t>({ 2, 3 }));
}

// Guards against flows into a zone whose evacuation the copy of the store does not have yet.
TEST(entry_evacuation, EvacuationOutlivesARestoreUntilTheStoreIsWrittenAgain)
{
    evacuate({ "zone-a" }, 0);
    ++era;
    evacuate({}, 1000);
    CHECK_TRUE(placeFlows(1000, 1010) == std::set<std::uint32_t>({ 2, 3 }));
    evacuate({}, 4000);
    CHECK_TRUE(placeFlows(2000, 4010) == std::set<std::uint32_t>({ 1, 2, 3 }));
}

// Guards against flows into an evacuated zone whose upstreams lapsed in an outage of the store:
// they are kept while they register again, and a set that was read meanwhile does not name their
// zone.
TEST(entry_evacuation, EvacuationOutlivesTheLapseOfAllUpstreamsInTheZone)
{
    evacuate({ "zone-a" }, 0);
    const auto lapsed = upstreams.upstreams.front();
    upstreams.upstreams.erase(upstreams.upstreams.begin());
    evacuate({}, 5000);
    CHECK_TRUE(placeFlows(1000, 5010) == std::set<std::uint32_t>({ 2, 3 }));
    upstreams.upstreams.insert(upstreams.upstreams.begin(), lapsed);
    evacuate({}, 6000);
    CHECK_TRUE(placeFlows(2000, 6010) == std::set<std::uint32_t>({ 1, 2, 3 }));
}

// Guards against an evacuation that was taken back long after a restore and lasts 2.5 s longer.
TEST(entry_evacuation, SetThatFollowsTheListsOfItsEraEndsEvacuationsAtOnce)
{
    evacuate({ "zone-a" }, 0);
    ++era;
    for (const std::int64_t at : { 1000, 2000, 3000 })
        publish(at);
    evacuate({}, 4000);
    CHECK_TRUE(placeFlows(1000, 4010) == std::set<std::uint32_t>({ 1, 2, 3 }));
}

TEST(entry_evacuation, AgentsAreNotifiedAtOnceAndAgainAfterARestart)
{
    entry_balancer notifying {
        { 7, "zone-a", { 99 }, false, {}, true }, codec, documents, policy, output, observer
    };
    evacuate({ "zone-a" }, 0);
    notifying.finishRead(routes, upstreams, atMilliseconds(0), atMilliseconds(0));
    notifying.tick(atMilliseconds(1));
    CHECK_TRUE(noticesTo(1).back().evacuated);
    CHECK_FALSE(noticesTo(2).back().evacuated);
    // The entry of machine 3 is of a former user of the address.
    notifying.receiveMessage(3, service_announcement { serviceDigest("catalog") },
                             atMilliseconds(2));
    const std::size_t before = noticesTo(3).size();
    for (std::int64_t at = 100; at <= 5000; at += 100)
        notifying.tick(atMilliseconds(at));
    CHECK_EQUAL(before, noticesTo(3).size());
    output.messages.clear();
    notifying.receiveMessage(2, load_report { .bootId = 8 }, atMilliseconds(5010));
    for (std::int64_t at = 5100; at <= 5600; at += 100)
        notifying.tick(atMilliseconds(at));

    CHECK_EQUAL(1, noticesTo(2).size());
    CHECK_EQUAL(0, noticesTo(3).size());
}

// Guards against flows for a started upstream before its agent knows that it is cold.
TEST(entry_evacuation, AgentIsNotifiedOfANewStartWithTheListThatHasIt)
{
    entry_balancer notifying {
        { 7, "zone-a", { 99 }, false, {}, true }, codec, documents, policy, output, observer
    };
    evacuate({}, 0);
    routes.warmUps = { { "orders", 60s, 20 } };
    notifying.finishRead(routes, upstreams, atMilliseconds(0), atMilliseconds(0));
    upstreams.upstreams[1].incarnation += 5;
    evacuate({}, 1000);
    output.messages.clear();
    notifying.finishRead(std::nullopt, upstreams, atMilliseconds(1000), atMilliseconds(1000));
    CHECK_EQUAL(1, noticesTo(2).size());
    CHECK_EQUAL(0, noticesTo(3).size());
}

TEST_GROUP(agent_evacuation)
{
    fake_codec codec;
    fake_document_codec documents;
    recording_agent_output output;
    recording_observer observer;
    flow_agent agent { { 3, "orders" }, codec, documents, output, observer };

    void notify(std::uint64_t revision, bool evacuated, std::int64_t at)
    {
        agent.receiveMessage(50, upstream_notice { 1, {}, 0, { 1, revision }, evacuated },
                             atMilliseconds(at));
    }
    packet_head opening(std::uint32_t copy = 0) const
    {
        packet_head head;
        head.source = client;
        head.destination = ordersAddress;
        head.opens = true;
        head.acknowledgement = copy;
        head.tag = { instruction::deliver, serviceDigest("orders") };
        return head;
    }
    void receive(const packet_head &head, std::int64_t at)
    {
        agent.receiveFromEntry({ 50, 7000 }, fake_codec::encode(head), atMilliseconds(at));
    }
};

// Guards against an entry instance with an old list.
TEST(agent_evacuation, OpeningPacketIsReturnedAsRefused)
{
    notify(5, true, 0);
    receive(opening(), 10);

    CHECK_EQUAL(0, output.toUpstream.size());
    CHECK_TRUE(output.toEntries.back().head.tag.kind == instruction::refused);
    CHECK_EQUAL(1, agent.counters().refusedEvacuated);
}

TEST(agent_evacuation, OlderNoticeDoesNotEndTheEvacuation)
{
    notify(5, true, 0);
    notify(4, false, 10);
    CHECK_TRUE(agent.evacuated(atMilliseconds(20)));
    notify(6, false, 30);
    CHECK_FALSE(agent.evacuated(atMilliseconds(40)));
    notify(5, true, 50);
    CHECK_FALSE(agent.evacuated(atMilliseconds(60)));
}

// Guards against a lost end of an evacuation that keeps the upstream without flows.
TEST(agent_evacuation, EvacuationLapsesWithoutNotices)
{
    notify(5, true, 0);

    CHECK_TRUE(agent.evacuated(atMilliseconds(2900)));
    CHECK_FALSE(agent.evacuated(atMilliseconds(3100)));
}

// Guards against a flow that is refused although the upstream has accepted its first copy.
TEST(agent_evacuation, CopyOfAnAcceptedOpeningPacketIsPassedOn)
{
    receive(opening(), 0);
    packet_head answer;
    answer.source = ordersAddress;
    answer.destination = client;
    answer.opens = answer.acknowledges = true;
    agent.receiveFromUpstream(fake_codec::encode(answer), atMilliseconds(1));
    notify(5, true, 100);
    receive(opening(1), 200);

    CHECK_EQUAL(2, output.toUpstream.size());
}
