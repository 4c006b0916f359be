#include "internal/caller_channel.h"

#include "agent_fakes.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;
using oriolehold::coap::message_code;
using oriolehold::coap::message_type;

TEST_GROUP(caller_channel)
{
    agent_under_test agent;

    // Triggers a separate response, leaves it unacknowledged and returns its message ID.
    std::uint16_t sendSeparateResponse()
    {
        agent.receive(get("guides", agent.token(1), 9));
        agent.runFor(600ms);
        agent.complete(0, "page");
        return agent.last().messageId();
    }
};

TEST(caller_channel, DuplicatePacketGetsTheSameBytesThroughItsOwnEntry)
{
    const packet request = get("guides", agent.token(1));
    agent.receive(request);
    agent.receive(request, entryB);
    agent.complete(0, "page");
    agent.receive(request, entryB);

    CHECK_EQUAL(1, agent.actions.jobs.size());
    CHECK_EQUAL(2, agent.actions.deliveries.size());
    CHECK_TRUE(agent.actions.deliveries[0].bytes == agent.actions.deliveries[1].bytes);
    CHECK_TRUE(agent.actions.deliveries[1].entry == entryB);
}

TEST(caller_channel, RestartedCallerThatReusesAMessageIdGetsItsOwnAnswer)
{
    agent.receive(get("guides", agent.token(1)));
    agent.complete(0, "page");
    agent.receive(get("reports", agent.token(1)));
    agent.complete(1, "report");

    CHECK_TRUE(agent.lastPayload() == "report");
}

TEST(caller_channel, SlowAnswerIsAcknowledgedFirstAndSentSeparately)
{
    const std::uint16_t messageId = sendSeparateResponse();

    CHECK_EQUAL(2, agent.actions.deliveries.size());
    const auto ack = agent.actions.deliveries[0].view();
    CHECK_TRUE(ack.type() == message_type::acknowledgement);
    CHECK_TRUE(ack.isEmpty());
    CHECK_EQUAL(9, ack.messageId());
    CHECK_TRUE(agent.last().type() == message_type::confirmable);
    CHECK_EQUAL(1, messageId >> 8); // index of the upstream
}

TEST(caller_channel, LostSeparateResponseIsRetransmittedThroughAnotherEntry)
{
    sendSeparateResponse();
    agent.runFor(1900ms);
    CHECK_EQUAL(2, agent.actions.deliveries.size());
    agent.runFor(200ms);
    CHECK_EQUAL(3, agent.actions.deliveries.size());
    CHECK_TRUE(agent.actions.deliveries[1].bytes == agent.actions.deliveries[2].bytes);
    CHECK_TRUE(agent.actions.deliveries[1].entry != agent.actions.deliveries[2].entry);

    agent.runFor(100s);
    CHECK_EQUAL(2 + 4, agent.actions.deliveries.size()); // four retransmissions at most
}

TEST(caller_channel, AcknowledgementOrResetStopsTheRetransmission)
{
    for (const message_type type : { message_type::acknowledgement, message_type::reset }) {
        agent_under_test other;
        other.receive(get("guides", other.token(1), 9));
        other.runFor(600ms);
        other.complete(0, "page");
        other.receiveEmpty(type, other.last().messageId());
        other.runFor(100s);
        CHECK_EQUAL(2, other.actions.deliveries.size());
    }
}

TEST(caller_channel, DuplicateAfterTheSeparateResponseRepeatsAcknowledgementAndResponse)
{
    const packet request = get("guides", agent.token(1), 9);
    const std::uint16_t messageId = sendSeparateResponse();
    agent.receive(request);
    CHECK_EQUAL(4, agent.actions.deliveries.size());
    CHECK_EQUAL(messageId, agent.last().messageId());

    agent.receiveEmpty(message_type::acknowledgement, messageId);
    agent.receive(request);
    CHECK_EQUAL(5, agent.actions.deliveries.size());
    CHECK_TRUE(agent.last().isEmpty());
}

TEST(caller_channel, NonConfirmableRequestGetsANonConfirmableResponse)
{
    packet request = get("guides", agent.token(1));
    request.type = message_type::nonConfirmable;
    agent.receive(request);
    agent.runFor(600ms);
    agent.complete(0, "page");

    CHECK_EQUAL(1, agent.actions.deliveries.size());
    CHECK_TRUE(agent.last().type() == message_type::nonConfirmable);
    CHECK_EQUAL(1, agent.last().messageId() >> 8);
}
