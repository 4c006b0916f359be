#include "entry_balancer_fixture.h"
#include "flow_agent_fixture.h"

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
};

TEST(entry_evacuation, NewFlowsLeaveTheZoneAndReturnWhenItIsTakenBack)
{
    evacuate({ "zone-a" }, 0);
    CHECK_TRUE(placeFlows(60, 10, 1000) == std::set<std::uint32_t>({ 2, 3 }));
    evacuate({}, 1000);
    CHECK_TRUE(placeFlows(60, 1010, 2000) == std::set<std::uint32_t>({ 1, 2, 3 }));
}

TEST(entry_evacuation, OpenFlowsStay)
{
    publishAndReceive(opening());
    const std::uint32_t owner = output.toAgents.back().machine;
    claim(owner, 12);
    evacuate({ "zone-a", "zone-b" }, 20);
    output.toAgents.clear();
    receive(packet(), 30);

    CHECK_TRUE(onlySentTo(owner));
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
    report({ 1, 2, 3 }, 10, 1);
    capacity_report capacity;
    capacity.evacuated = true;
    receiveMessage(1, capacity, 10);
    CHECK_TRUE(placeFlows(60, 20, 1000) == std::set<std::uint32_t>({ 2, 3 }));
    // Without further capacity reports the limit has ended.
    const std::int64_t later = 100 + capacity_report::lifetime.count();
    report({ 1, 2, 3 }, later, 1);
    CHECK_TRUE(placeFlows(60, later + 10, 2000) == std::set<std::uint32_t>({ 1, 2, 3 }));
}

// Guards against a list whose set of evacuated zones was read before the present one.
TEST(entry_evacuation, OlderSetDoesNotReplaceANewerOne)
{
    evacuate({ "zone-a" }, 0);
    upstreams.evacuation = { { era, evacuationRevision - 1 }, {} };
    publish(500);

    CHECK_TRUE(placeFlows(60, 510, 1000) == std::set<std::uint32_t>({ 2, 3 }));
}

// Guards against flows into a zone whose evacuation the copy of the store does not have yet.
TEST(entry_evacuation, EvacuationOutlivesARestoreUntilTheStoreIsWrittenAgain)
{
    evacuate({ "zone-a" }, 0);
    ++era;
    evacuate({}, 1000);
    CHECK_TRUE(placeFlows(60, 1010, 1000) == std::set<std::uint32_t>({ 2, 3 }));
    evacuate({}, 4000);
    CHECK_TRUE(placeFlows(60, 4010, 2000) == std::set<std::uint32_t>({ 1, 2, 3 }));
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
    CHECK_TRUE(placeFlows(60, 5010, 1000) == std::set<std::uint32_t>({ 2, 3 }));
    upstreams.upstreams.insert(upstreams.upstreams.begin(), lapsed);
    evacuate({}, 6000);
    CHECK_TRUE(placeFlows(60, 6010, 2000) == std::set<std::uint32_t>({ 1, 2, 3 }));
}

// Guards against an evacuation that was taken back long after a restore and lasts 2.5 s longer.
TEST(entry_evacuation, SetThatFollowsTheListsOfItsEraEndsEvacuationsAtOnce)
{
    evacuate({ "zone-a" }, 0);
    ++era;
    for (const std::int64_t at : { 1000, 2000, 3000 })
        publish(at);
    evacuate({}, 4000);
    CHECK_TRUE(placeFlows(60, 4010, 1000) == std::set<std::uint32_t>({ 1, 2, 3 }));
}

TEST(entry_evacuation, AgentsAreNotifiedAtOnceAndAgainAfterARestart)
{
    entry_balancer notifying {
        { 7, "zone-a", { 99 }, false, {}, true }, codec, documents, policy, output, observer
    };
    evacuate({ "zone-a" }, 0);
    notifying.finishRead(routes, upstreams, atMilliseconds(0), atMilliseconds(0));
    notifying.tick(atMilliseconds(1));
    CHECK_TRUE(output.sent<upstream_notice>(1).back().evacuated);
    CHECK_FALSE(output.sent<upstream_notice>(2).back().evacuated);
    // The entry of machine 3 is of a former user of the address.
    notifying.receiveMessage(3, service_announcement { serviceDigest("catalog") },
                             atMilliseconds(2));
    const std::size_t before = output.sent<upstream_notice>(3).size();
    for (std::int64_t at = 100; at <= 5000; at += 100)
        notifying.tick(atMilliseconds(at));
    CHECK_EQUAL(before, output.sent<upstream_notice>(3).size());
    output.messages.clear();
    notifying.receiveMessage(2, load_report { .bootId = 8 }, atMilliseconds(5010));
    for (std::int64_t at = 5100; at <= 5600; at += 100)
        notifying.tick(atMilliseconds(at));

    CHECK_EQUAL(1, output.sent<upstream_notice>(2).size());
    CHECK_EQUAL(0, output.sent<upstream_notice>(3).size());
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
    CHECK_EQUAL(1, output.sent<upstream_notice>(2).size());
    CHECK_EQUAL(0, output.sent<upstream_notice>(3).size());
}

namespace {

struct evacuated_agent_fixture : public flow_agent_fixture
{
    void notifyOf(std::uint64_t revision, bool evacuated, std::int64_t at)
    {
        notify({ 1, {}, 0, { 1, revision }, evacuated }, at);
    }
};

} // namespace

TEST_GROUP_BASE(agent_evacuation, evacuated_agent_fixture) {};

// Guards against an entry instance with an old list.
TEST(agent_evacuation, OpeningPacketIsReturnedAsRefused)
{
    notifyOf(5, true, 0);
    receive(opening(), 10);

    CHECK_EQUAL(0, output.toUpstream.size());
    CHECK_TRUE(onlyReturned(instruction::refused));
    CHECK_EQUAL(1, agent.counters().refusedEvacuated);
}

TEST(agent_evacuation, OlderNoticeDoesNotEndTheEvacuation)
{
    notifyOf(5, true, 0);
    notifyOf(4, false, 10);
    CHECK_TRUE(agent.evacuated(atMilliseconds(20)));
    notifyOf(6, false, 30);
    CHECK_FALSE(agent.evacuated(atMilliseconds(40)));
    notifyOf(5, true, 50);
    CHECK_FALSE(agent.evacuated(atMilliseconds(60)));
}

// Guards against a lost end of an evacuation that keeps the upstream without flows.
TEST(agent_evacuation, EvacuationLapsesWithoutNotices)
{
    notifyOf(5, true, 0);

    CHECK_TRUE(agent.evacuated(atMilliseconds(2900)));
    CHECK_FALSE(agent.evacuated(atMilliseconds(3100)));
}

// Guards against a flow that is refused although the upstream has accepted its first copy.
TEST(agent_evacuation, CopyOfAnAcceptedOpeningPacketIsPassedOn)
{
    receive(opening(), 0);
    accept(1);
    notifyOf(5, true, 100);
    receive(opening(client.port, 1), 200);

    CHECK_EQUAL(2, output.toUpstream.size());
}
