#include "oriolehold/core/rendezvous.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace oriolehold::core;

TEST_GROUP(rendezvous)
{
    std::vector<upstream> upstreams { 5 };
    std::vector<const upstream *> pointers;

    void setup() override
    {
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            upstreams[i].id = upstream_id { static_cast<std::uint16_t>(i) };
            pointers.push_back(&upstreams[i]);
        }
    }

    // Number of flows of other upstreams whose owner changes when upstream 2 leaves.
    template<typename Choice>
    int movedFlows(Choice choice)
    {
        int moved = 0;
        for (std::uint16_t port = 0; port < 1'000; ++port) {
            const flow_key key = makeFlowKey({ 1, port }, { 2, 5000 });
            upstreams[2].state = upstream_state::live;
            const upstream *before = choice(pointers, key);
            upstreams[2].state = upstream_state::leaving;
            moved += before != pointers[2] && choice(pointers, key) != before ? 1 : 0;
        }
        return moved;
    }
};

TEST(rendezvous, FlowsAreDistributedByWeight)
{
    upstreams[0].strength = 4.0;
    std::vector<int> counts(upstreams.size());
    for (std::uint16_t port = 0; port < 8'000; ++port) {
        const flow_key key = makeFlowKey({ 1, port }, { 2, 5000 });
        ++counts[toInteger(plainRendezvous(pointers, key)->id)];
    }
    CHECK_TRUE(std::abs(counts[0] - 4'000) < 200);
    CHECK_TRUE(std::abs(counts[1] - 1'000) < 150);
}

TEST(rendezvous, LeavingUpstreamMovesOnlyItsOwnFlows)
{
    CHECK_EQUAL(0, movedFlows(plainRendezvous));
    CHECK_TRUE(movedFlows(fiveTupleModulo) > 500);
}

TEST(rendezvous, RankingStartsWithTheOwnerAndContainsLeavingUpstreams)
{
    upstreams[3].state = upstream_state::leaving;
    for (std::uint16_t port = 0; port < 100; ++port) {
        const flow_key key = makeFlowKey({ 1, port }, { 2, 5000 });
        const std::vector<const upstream *> ranked = rankUpstreams(pointers, key);
        CHECK_EQUAL(5, ranked.size());
        const auto firstLive = std::ranges::find_if(
                ranked, [&](const upstream *item) { return item != pointers[3]; });
        CHECK_TRUE(*firstLive == plainRendezvous(pointers, key));
    }
}

TEST(rendezvous, NoLiveUpstreamMeansNoOwner)
{
    for (upstream &item : upstreams)
        item.state = upstream_state::leaving;
    POINTERS_EQUAL(nullptr, plainRendezvous(pointers, 1));
    POINTERS_EQUAL(nullptr, fiveTupleModulo(pointers, 1));
}
