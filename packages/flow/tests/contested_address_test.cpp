#include "entry_balancer_fixture.h"

using namespace oriolehold;
using namespace oriolehold::flow;

// Several entries of the list with the address of one upstream.
TEST_GROUP_BASE(contested_address, entry_balancer_fixture) {};

// Guards against resets of open flows: an entry of another writer with a later start hid a live
// upstream, whose agent got no hellos and no probes.
TEST(contested_address, EntryOfAnUnknownServiceDoesNotHideAnUpstream)
{
    upstream_record foreign = foreignRecord(1, "inventory");
    upstreams.upstreams.insert(upstreams.upstreams.begin(), foreign);
    publish(0);
    tick(500);
    receive(packet(), 510);

    STRCMP_EQUAL("i-1", balancer.directory().find(1)->record.id.c_str());
    CHECK_TRUE(output.receivers<entry_hello>().contains(1));
    CHECK_TRUE(probedMachines().contains(1));
}

// The same while the services are not known yet: the list may arrive before the configuration.
TEST(contested_address, UpstreamThatWasHiddenBeforeTheFirstConfigurationIsUsed)
{
    upstreams.upstreams.push_back(foreignRecord(1, "inventory"));
    upstreams.revision = { era, ++revision };
    balancer.finishRead(std::nullopt, upstreams, atMilliseconds(0), atMilliseconds(0));
    publish(100);

    STRCMP_EQUAL("i-1", balancer.directory().find(1)->record.id.c_str());
}

// Two entries of services that exist differ in nothing that the store knows. Only the agent tells
// which one is its upstream's.
TEST(contested_address, EntryOfTheServiceThatTheAgentAnnouncesCounts)
{
    upstreams.upstreams.push_back(foreignRecord(1, "catalog"));
    publish(0);
    announce(1, "orders", 5);
    receive(packet(), 10);

    STRCMP_EQUAL("i-1", balancer.directory().find(1)->record.id.c_str());
    CHECK_TRUE(probedMachines().contains(1));
    publish(500);
    STRCMP_EQUAL("i-1", balancer.directory().find(1)->record.id.c_str());
}

// Guards against open flows whose packets do not reach their upstream: a copy of its entry for
// another service, with the same start, was known first and kept.
TEST(contested_address, CopyForAnotherServiceThatWasKnownFirstDoesNotHideItsUpstream)
{
    routes.routes.push_back({ unknownAddress, { { "catalog", 1 } } });
    upstream_record copy = record(1, "catalog");
    copy.id = "a-copy";
    upstreams.upstreams.insert(upstreams.upstreams.begin(), copy);
    publish(0);
    announce(1, "orders", 5);
    receive(packet(), 10);

    STRCMP_EQUAL("i-1", balancer.directory().find(1)->record.id.c_str());
    CHECK_TRUE(probedMachines().contains(1));
}

// The upstream's own entry may be missing for a while: it lapses when the upstream cannot reach the
// store.
TEST(contested_address, UpstreamWithOnlyAnEntryOfAnotherWriterIsProbedForItsService)
{
    upstreams.upstreams = { foreignRecord(1, "catalog") };
    publish(0);
    announce(1, "orders", 5);
    receive(packet(), 10);

    CHECK_EQUAL(1, output.toAgents.size());
    CHECK_EQUAL(serviceDigest("orders"), output.toAgents.front().head.tag.value);
}

// Guards against an upstream that gets no flows for 20 s after the entry of another writer is gone.
TEST(contested_address, UpstreamIsUsedWhenTheEntryThatHidItIsRemoved)
{
    upstreams.upstreams = { record(1), foreignRecord(1, "catalog") };
    publish(0);
    upstreams.upstreams.pop_back();
    publish(100);
    announce(1, "orders", 150);
    receive(opening(), 200);

    CHECK_TRUE(onlySentTo(1));
}

// The announcement of a former agent must not hide the upstream that uses its address now.
TEST(contested_address, UpstreamOfAnotherServiceAtAReusedAddressIsUsed)
{
    upstreams.upstreams = { record(1, "catalog") };
    publish(0);
    announce(1, "catalog", 5);
    upstreams.upstreams = { record(1) };
    upstreams.upstreams.front().incarnation = 9;
    publish(3000);
    receive(opening(), 3010);

    CHECK_EQUAL(1, output.toAgents.size());
    CHECK_EQUAL(serviceDigest("orders"), output.toAgents.front().head.tag.value);
}
