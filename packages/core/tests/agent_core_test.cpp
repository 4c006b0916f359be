#include "oriolehold/core/agent_core.h"

#include "agent_fakes.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;
using oriolehold::coap::message_code;
using oriolehold::coap::message_type;

TEST_GROUP(agent_core)
{
    agent_under_test agent;
};

TEST(agent_core, GetIsAnsweredInTheAcknowledgementWithAFreshEcho)
{
    agent.receive(get("guides", agent.token(1), 5));
    agent.complete(0, "page");

    CHECK_TRUE(agent.last().type() == message_type::acknowledgement);
    CHECK_EQUAL(5, agent.last().messageId());
    CHECK_TRUE(agent.lastPayload() == "page");
    CHECK_TRUE(agent.lastEcho().incarnation == firstIncarnation);
    CHECK_TRUE(agent.lastEcho().ticket != 1);
}

TEST(agent_core, OrderRunsOnceAndItsCopyGetsTheSameAnswer)
{
    const auto token = agent.token(1);
    agent.receive(order(token, 1));
    agent.complete(0, "booked");
    agent.receive(order(token, 2), entryB);

    CHECK_EQUAL(1, agent.actions.jobs.size());
    CHECK_TRUE(agent.actions.deliveries.back().entry == entryB);
    CHECK_TRUE(agent.lastPayload() == "booked");
}

TEST(agent_core, DownloadIsRunOnceAndServedBlockByBlock)
{
    const std::string body(2500, 'r');
    agent.receive(get("reports", agent.token(1), 1));
    agent.complete(0, body);
    std::string read = agent.lastPayload();
    for (std::uint32_t number = 1; number < 3; ++number) {
        packet next =
                get("reports", agent.token(number + 1), static_cast<std::uint16_t>(number + 1));
        next.block2 = { number, false, 6 };
        agent.receive(next);
        read += agent.lastPayload();
    }

    CHECK_TRUE(read == body);
    CHECK_FALSE(agent.last().block2()->more);
    CHECK_EQUAL(1, agent.actions.jobs.size());
    CHECK_EQUAL(0, agent.core->report(agent.now).running);
}

TEST(agent_core, FeedIsRegisteredAndNotifiedWithRisingNumbers)
{
    packet registration = get("stock", agent.token(1));
    registration.observe = 0;
    agent.receive(registration);
    const feed_id feed = agent.actions.startedFeeds.at(0).first;
    agent.core->updateFeed(feed, oriolehold::coap::asBytes("5 left"), agent.now);
    const auto first = agent.last().uintOption(oriolehold::coap::option_number::observe);
    CHECK_TRUE(agent.last().type() == message_type::acknowledgement);

    agent.core->updateFeed(feed, oriolehold::coap::asBytes("4 left"), agent.now);

    CHECK_TRUE(agent.last().type() == message_type::nonConfirmable);
    CHECK_TRUE(agent.lastPayload() == "4 left");
    CHECK_EQUAL(1, agent.last().messageId() >> 8);
    CHECK_TRUE(*agent.last().uintOption(oriolehold::coap::option_number::observe) > *first);
}

TEST(agent_core, DrainFinishesWorkAndRefusesNewOrders)
{
    agent.receive(order(agent.token(1), 1));
    agent.core->drain(agent.now);
    agent.receive(order(agent.token(2), 2));
    CHECK_TRUE(agent.lastCode() == result_code::draining);
    CHECK_FALSE(agent.core->drained(agent.now));

    agent.complete(0, "booked");
    CHECK_TRUE(agent.lastPayload() == "booked");
    agent.pass(5s);
    CHECK_TRUE(agent.core->drained(agent.now));
    CHECK_EQUAL(1, agent.actions.jobs.size());
}
