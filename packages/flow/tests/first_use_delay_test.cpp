#include "entry_balancer_fixture.h"

using namespace oriolehold;
using namespace oriolehold::flow;

// An entry instance with a first-use delay of 1.5 s. Its upstreams 1 to 3 started long ago.
TEST_GROUP_BASE(first_use_delay, entry_balancer_fixture)
{
    entry_balancer delayed {
        { 7, "zone-a", {}, false, 1500ms }, codec, documents, policy, output, observer
    };

    // An upstream that started just before the list.
    static upstream_record newRecord(std::uint32_t machine, std::int64_t at)
    {
        upstream_record result = record(machine);
        result.incarnation = unixMilliseconds(atMilliseconds(at));
        return result;
    }
    void startUpstreams(std::int64_t at)
    {
        upstreams.upstreams = { newRecord(1, at), newRecord(2, at), newRecord(3, at) };
    }
    void publishDelayed(std::int64_t readAt, std::int64_t at)
    {
        upstreams.revision = { era, ++revision };
        delayed.finishRead(routes, upstreams, atMilliseconds(readAt), atMilliseconds(at));
        hearAgents(delayed, at);
    }
    // Ticks often enough that the process does not seem to have stalled.
    void tickUntil(std::int64_t from, std::int64_t to)
    {
        for (std::int64_t at = from; at <= to; at += 50)
            delayed.tick(atMilliseconds(at));
    }
    // Begins the search of another flow, which all upstreams deny, and returns whether its client
    // was reset.
    bool isReset(std::int64_t at)
    {
        packet_head head = packet();
        head.source.port = static_cast<std::uint16_t>(at);
        delayed.receivePacket(fake_codec::encode(head), 0, atMilliseconds(at));
        for (const upstream_record &item : upstreams.upstreams)
            delayed.receiveMessage(item.address.address, flow_denial { keyOfClientPacket(head) },
                                   atMilliseconds(at + 1));
        delayed.tick(atMilliseconds(at + 2));
        delayed.tick(atMilliseconds(at + 30));
        return std::ranges::any_of(output.toClients, [&](const sent_packet &sent) {
            return sent.head.destination == head.source;
        });
    }
    std::set<std::uint32_t> placedMachines(std::int64_t at)
    {
        output.toAgents.clear();
        for (std::uint16_t port = 1; port <= 60; ++port) {
            packet_head head = opening();
            head.source.port = port;
            head.sequence = static_cast<std::uint32_t>(at); // else a copy goes to the same upstream
            delayed.receivePacket(fake_codec::encode(head), 0, atMilliseconds(at));
        }
        std::set<std::uint32_t> machines;
        for (const sent_packet &sent : output.toAgents)
            machines.insert(sent.machine);
        return machines;
    }
};

// A wait for a newer list took as long as the latency objective after the loss of all machines.
TEST(first_use_delay, SearchEndsByTheListThatItBeganWith)
{
    publishDelayed(0, 0);
    tickUntil(0, 100);

    CHECK_TRUE(isReset(120));
    CHECK_EQUAL(1, delayed.counters().waitsAvoided);
    CHECK_EQUAL(1, delayed.counters().resetsByReason[5]);
}

// Without the setting a search waits, because others use upstreams that the list lacks.
TEST(first_use_delay, WithoutADelayASearchWaitsForANewerList)
{
    publish(0);
    receive(packet(), 120);
    denyAll(121);
    balancer.tick(atMilliseconds(150));

    CHECK_TRUE(output.toClients.empty());
}

// Guards against a wrong reset of a flow that another instance opened at an upstream that this
// instance's list lacks: the list may be older than the other one by more than the delay.
TEST(first_use_delay, ListOlderThanTheDelayLessTheMarginDoesNotEndASearch)
{
    publishDelayed(0, 0);
    tickUntil(0, 1300);

    CHECK_FALSE(isReset(1310));
}

// Guards against the use of the time at which a slow list arrived as its age.
TEST(first_use_delay, SlowListCountsFromTheBeginningOfItsRead)
{
    tickUntil(0, 1300);
    publishDelayed(0, 1290);

    CHECK_FALSE(isReset(1310));
}

// Guards against a first use that lists of other instances, younger than the delay, may lack.
TEST(first_use_delay, NewAddressGetsNoFlowUntilTheDelayHasPassed)
{
    publishDelayed(0, 0);
    upstreams.upstreams.push_back(newRecord(9, 900));
    publishDelayed(1000, 1200); // arrives late

    CHECK_FALSE(placedMachines(2690).contains(9));
    CHECK_EQUAL(60, delayed.counters().firstUsesDelayed);
    CHECK_TRUE(placedMachines(2710).contains(9));
}

// A new address with the entry of another writer, or of an upstream that registered late, is not in
// the lists of others although its start seems to be long ago.
TEST(first_use_delay, EarlyStartDoesNotMakeANewAddressKnown)
{
    publishDelayed(0, 0);
    upstreams.upstreams.push_back(record(9));
    publishDelayed(1000, 1000);

    CHECK_FALSE(placedMachines(1100).contains(9));
}

// After the loss of all machines, the list has the entries of the former starts, too. The addresses
// are in all lists.
TEST(first_use_delay, EntryOfAFormerStartMakesTheAddressKnownAtOnce)
{
    upstreams.upstreams.push_back(newRecord(1, 0));
    upstreams.upstreams.back().id = "restarted";
    upstreams.upstreams.push_back(newRecord(5, 0));
    publishDelayed(0, 0);
    const std::set<std::uint32_t> machines = placedMachines(10);

    CHECK_TRUE(machines.contains(1));
    CHECK_FALSE(machines.contains(5));
}

// Guards against a wrong reset of a flow that a fresh instance, which knows no address, opened at
// an upstream that this instance's list lacks.
TEST(first_use_delay, FreshInstanceUsesNewUpstreamsAndDoesNotRelyOnItsList)
{
    startUpstreams(0);
    publishDelayed(0, 0);
    tickUntil(0, 100);

    CHECK_EQUAL(3, placedMachines(110).size());
    CHECK_FALSE(isReset(120));
    // Others that start up to 15 s later may know no address either, and use all at once.
    for (std::int64_t at = 1400; at <= 15'400; at += 1400) {
        tickUntil(at - 1350, at);
        publishDelayed(at, at);
    }
    CHECK_FALSE(isReset(15'450));
    tickUntil(15'500, 16'500);
    publishDelayed(16'500, 16'500);
    CHECK_TRUE(isReset(16'550));
}

// Guards against a wrong reset after the only known upstream left between the two lists: the other
// instance used the new one at once.
TEST(first_use_delay, SearchOfAServiceWithOneKnownUpstreamWaits)
{
    upstreams.upstreams = { record(1), newRecord(2, 0) };
    publishDelayed(0, 0);
    tickUntil(0, 100);

    CHECK_FALSE(isReset(120));
}

// Lists of other instances may be from the time in which the address was missing.
TEST(first_use_delay, AddressThatLapsedAndCameBackIsNew)
{
    publishDelayed(0, 0);
    const upstream_record lapsed = upstreams.upstreams.front();
    upstreams.upstreams.erase(upstreams.upstreams.begin());
    publishDelayed(1000, 1000);
    upstreams.upstreams.push_back(lapsed);
    publishDelayed(2000, 2000);

    CHECK_FALSE(placedMachines(3490).contains(1));
    CHECK_TRUE(placedMachines(3510).contains(1));
}

// Entries that an outage of the store let lapse may be missing in the first lists after it.
TEST(first_use_delay, ListsAfterAnOutageDoNotEndSearches)
{
    publishDelayed(0, 0);
    tickUntil(0, 3000);
    publishDelayed(3000, 3000);

    CHECK_FALSE(isReset(3050));
}

// The sockets of a stalled process hold lists that seem to be new when it reads them.
TEST(first_use_delay, ListThatArrivedInAStallDoesNotEndASearch)
{
    publishDelayed(0, 0);
    delayed.tick(atMilliseconds(0));
    publishDelayed(890, 900);
    delayed.tick(atMilliseconds(900));

    CHECK_FALSE(isReset(910));
    publishDelayed(950, 950);
    CHECK_TRUE(isReset(960));
}

// A process that is idle must wake up often enough to notice stalls.
TEST(first_use_delay, TicksAreFrequentEnoughToNoticeStalls)
{
    publishDelayed(0, 0);
    for (std::int64_t at = 0; at < 1000; at += 10)
        CHECK_TRUE(delayed.tick(atMilliseconds(at)) < first_use_delay::stallTime);
}
