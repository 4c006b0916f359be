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

TEST(agent_core, CopiesOfAWaitingOrderAreAllAnsweredByOneRun)
{
    agent.receive(order(agent.token(1), 1));
    agent.receive(order(agent.token(2), 2));
    agent.receive(order(agent.token(2), 3), entryB); // a retry while it is queued
    agent.complete(0, "first");
    agent.receive(order(agent.token(2), 4)); // a retry while it runs
    agent.complete(1, "second");

    CHECK_EQUAL(2, agent.actions.jobs.size());
    CHECK_EQUAL(4, agent.actions.deliveries.size());
    CHECK_TRUE(agent.lastPayload() == "second");
}

// Guards against an agent that runs expired requests from its socket buffer after a pause.
TEST(agent_core, TimeInBuffersCountsAgainstTheDeadline)
{
    const byte_vector bytes = order(agent.token(1), 1).bytes();
    agent.core->receive(entryA, callerEndpoint, ordersService, bytes, agent.now, 10s);

    CHECK_TRUE(agent.lastCode() == result_code::deadlinePassed);
    CHECK_EQUAL(0, agent.actions.jobs.size());
}

TEST(agent_core, LostRefusalIsRepeatedAndTheOrderNeverRuns)
{
    agent_under_test single(upstreamOne, {}, makeSingleContent()); // no redirects
    const auto token = single.token(1);
    single.scheduler.expectedWaitResult = 10s;
    single.receive(order(token, 1));
    CHECK_TRUE(single.lastCode() == result_code::deadlineUnreachable);
    CHECK_TRUE(single.last().code() == message_code::serviceUnavailable);

    single.scheduler.expectedWaitResult = 0s;
    single.receive(order(token, 2));

    CHECK_TRUE(single.lastCode() == result_code::deadlineUnreachable);
    CHECK_EQUAL(0, single.actions.jobs.size());
}

TEST(agent_core, AnotherOrderUnderAUsedTicketIsRejected)
{
    const auto token = agent.token(1);
    agent.receive(order(token, 1, "two kits"));
    agent.receive(order(token, 2, "nine kits"));

    CHECK_TRUE(agent.lastCode() == result_code::ticketReused);
    CHECK_EQUAL(1, agent.actions.jobs.size());
}

TEST(agent_core, RetryWithLessTimeLeftIsACopy)
{
    const auto token = agent.token(1);
    packet first = order(token, 1);
    first.query = "deadline=900";
    packet retry = order(token, 2);
    retry.query = "deadline=300";
    agent.receive(first);
    agent.receive(retry);
    agent.complete(0, "booked");

    CHECK_EQUAL(1, agent.actions.jobs.size());
    CHECK_EQUAL(2, agent.actions.deliveries.size());
}

TEST(agent_core, OrderUnderAnUnboundTokenGetsABoundOneAndDoesNotRun)
{
    agent.receive(order(agent.token(1, incarnation::unknown)));

    CHECK_TRUE(agent.last().code() == message_code::unauthorized);
    CHECK_TRUE(agent.lastEcho().incarnation == firstIncarnation);
    CHECK_EQUAL(0, agent.actions.jobs.size());
}

TEST(agent_core, RestartedAgentDoesNotRunTicketsOfItsFormerIncarnation)
{
    agent.receive(order(agent.token(1), 1));
    agent.options.incarnation = incarnation { 200 };
    agent.restart(makeContent());

    agent.receive(order(agent.token(1), 2));
    CHECK_TRUE(agent.lastCode() == result_code::ownerRestarted);
    CHECK_TRUE(agent.last().code() == message_code::gatewayTimeout);
    agent.receive(get("guides", agent.token(1), 3));
    CHECK_EQUAL(2, agent.actions.jobs.size()); // the order before the restart, and the guide
}

TEST(agent_core, ExpiredTicketIsUnknown)
{
    agent.receive(order(agent.token(1, firstIncarnation, 121)));

    CHECK_TRUE(agent.lastCode() == result_code::ticketExpired);
    CHECK_EQUAL(0, agent.actions.jobs.size());
}

TEST(agent_core, PausePastTheDeadlineRefusesQueuedOrdersAndLeavesRunningOnesUnknown)
{
    agent.receive(order(agent.token(1), 1));
    agent.receive(order(agent.token(2), 2));
    agent.pauseFor(10s);
    agent.complete(0, "late");

    CHECK_TRUE(
            agent.actions.results
                    == (std::vector { result_code::upstreamTimeout, result_code::deadlinePassed })
            || agent.actions.results
                    == (std::vector { result_code::deadlinePassed, result_code::upstreamTimeout }));
    CHECK_EQUAL(1, agent.actions.jobs.size());
    agent.receive(order(agent.token(2, firstIncarnation, 10), 4));
    CHECK_TRUE(agent.lastCode() == result_code::deadlinePassed);
}

TEST(agent_core, DeadlineIsCheckedAgainBeforeDispatch)
{
    agent.receive(order(agent.token(1), 1));
    agent.receive(order(agent.token(2), 2));
    agent.now += 10s; // a pause; the answer is the first event after it
    agent.complete(0, "late");

    CHECK_EQUAL(1, agent.actions.jobs.size());
    CHECK_TRUE(agent.lastCode() == result_code::deadlinePassed);
}

TEST(agent_core, SlotOfAnUnansweredJobStaysOccupiedForABoundedTime)
{
    agent.receive(order(agent.token(1), 1));
    agent.runFor(2s);
    CHECK_TRUE(agent.lastCode() == result_code::upstreamTimeout);
    CHECK_EQUAL(1, agent.actions.canceledJobs.size());
    CHECK_EQUAL(1, agent.core->report(agent.now).running);
    agent.receive(order(agent.token(2), 2));
    CHECK_EQUAL(1, agent.actions.jobs.size());

    agent.runFor(10s);

    CHECK_EQUAL(0, agent.core->report(agent.now).running);
}

TEST(agent_core, ResultOfTheUpstreamIsReportedAsItIs)
{
    const std::array cases {
        std::pair { upstream_status::shed, result_code::upstreamShed },
        std::pair { upstream_status::failed, result_code::upstreamFailed },
        std::pair { upstream_status::timedOut, result_code::upstreamTimeout },
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
        agent.receive(order(agent.token(i + 1), static_cast<std::uint16_t>(i)));
        agent.complete(i, "", cases[i].first);
        CHECK_TRUE(agent.lastCode() == cases[i].second);
    }
}

TEST(agent_core, ResetRemovesAQueuedOrder)
{
    agent.receive(order(agent.token(1), 1));
    agent.receive(order(agent.token(2), 2));
    agent.receiveEmpty(message_type::reset, 2);
    agent.complete(0, "booked");
    agent.receive(order(agent.token(2), 3));

    CHECK_TRUE(agent.lastCode() == result_code::canceled);
    CHECK_EQUAL(1, agent.actions.jobs.size());
}

TEST(agent_core, ResetCancelsARunningGuide)
{
    agent.receive(get("guides", agent.token(1), 1));
    agent.receiveEmpty(message_type::reset, 1);

    CHECK_EQUAL(1, agent.actions.canceledJobs.size());
    CHECK_EQUAL(1, agent.core->report(agent.now).running); // until the upstream answers
}

TEST(agent_core, TokenOfAnotherUpstreamOrServiceIsNotServed)
{
    flow_token other;
    other.service = ordersService;
    other.upstream = upstreamTwo;
    other.issuedAt = unixSeconds(agent.now);
    agent.receive(get("guides", agent.seal(other), 1));
    other.upstream = upstreamOne;
    other.service = service_id { 9 };
    agent.receive(get("guides", agent.seal(other), 2));

    CHECK_EQUAL(2, agent.core->dropped(result_code::wrongService));
    CHECK_EQUAL(0, agent.actions.jobs.size());
    CHECK_EQUAL(0, agent.actions.deliveries.size());
}

TEST(agent_core, OrderUnderAForgedTokenIsUnknownAndNeverGetsAToken)
{
    auto token = agent.token(1);
    token.back() ^= 1;
    agent.receive(order(token));

    CHECK_TRUE(agent.lastCode() == result_code::tokenInvalid);
    CHECK_FALSE(agent.last().option(oriolehold::coap::option_number::echo));
    CHECK_EQUAL(0, agent.actions.jobs.size());
}

TEST(agent_core, InvalidRequestsAreRejected)
{
    std::uint16_t messageId = 1;
    for (const char *deadline : { "0", "-5", "1s", "", "3600001", "99999999999" }) {
        packet request = order(agent.token(1), messageId++);
        request.query = std::string("deadline=") + deadline;
        agent.receive(request);
        CHECK_TRUE(agent.lastCode() == result_code::badRequest);
    }
    agent.receive(get("unknown", agent.token(1), messageId++));
    CHECK_TRUE(agent.lastCode() == result_code::noSuchClass);
    agent.receive(order(agent.token(1), messageId++));
    CHECK_EQUAL(1, agent.actions.jobs.size()); // the rejected requests did not use up the ticket
}

TEST(agent_core, InvalidPacketsAreCountedAndNotAnswered)
{
    const auto receive = [this](byte_vector bytes) {
        agent.core->receive(entryA, callerEndpoint, ordersService, bytes, agent.now);
    };
    receive({});
    receive({ 0x40, 0x01 });
    receive({ 0x60, 0x01, 0, 1 }); // a request in an acknowledgement
    receive({ 0x40, 0x45, 0, 1 }); // a response
    receive({ 0x40, 0x01, 0, 1 }); // no Echo
    receive({ 0x60, 0x00, 0, 1 }); // acknowledges nothing
    receive({ 0x70, 0x00, 0, 1 }); // rejects nothing

    CHECK_EQUAL(3, agent.core->dropped(result_code::malformedMessage));
    CHECK_EQUAL(1, agent.core->dropped(result_code::unsolicitedResponse));
    CHECK_EQUAL(3, agent.core->dropped(result_code::unknownFlow));
    CHECK_EQUAL(0, agent.actions.deliveries.size());
}

TEST(agent_core, FullQueueAndFullLedgerRefuse)
{
    agent_core_options options;
    options.maxQueued = 1;
    options.maxLedger = 3;
    agent_under_test small(upstreamOne, options, makeSingleContent()); // no redirects
    small.receive(order(small.token(1), 1));
    small.receive(order(small.token(2), 2));
    small.receive(order(small.token(3), 3));
    CHECK_TRUE(small.lastCode() == result_code::queueFull);

    small.complete(0, "one");
    small.now += 1s;
    small.receive(order(small.token(4), 4)); // replaces the record of the third order's refusal
    small.complete(1, "two");
    small.receive(order(small.token(5), 5));
    CHECK_TRUE(small.lastCode() == result_code::ledgerFull);

    small.receive(order(small.token(3, firstIncarnation, 1), 6));
    CHECK_TRUE(small.lastCode() == result_code::ledgerFull);
    CHECK_EQUAL(3, small.actions.jobs.size());
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

TEST(agent_core, DrainFinishesWorkAndRunsNoNewOrder)
{
    agent.receive(order(agent.token(1), 1));
    agent.core->drain(agent.now);
    agent.receive(order(agent.token(2), 2));
    CHECK_TRUE(agent.lastCode() == result_code::challenge);
    CHECK_FALSE(agent.core->drained(agent.now));

    agent.complete(0, "booked");
    CHECK_TRUE(agent.lastPayload() == "booked");
    agent.receive(order(agent.token(1), 3));
    CHECK_TRUE(agent.lastPayload() == "booked"); // a known ticket
    agent.runFor(5s);
    CHECK_TRUE(agent.core->drained(agent.now));
    CHECK_EQUAL(1, agent.actions.jobs.size());
}

// Guards against an order that runs twice because two copies were sent to two other upstreams.
TEST(agent_core, DrainRedirectsEveryCopyOfAnOrderWithTheSameToken)
{
    agent.core->drain(agent.now);
    agent.receive(order(agent.token(2), 2));
    const flow_token first = agent.lastEcho();
    agent.receive(order(agent.token(2), 3));

    CHECK_TRUE(agent.lastCode() == result_code::challenge);
    CHECK_TRUE(agent.lastEcho() == first);
}

TEST(agent_core, BlockOfAnExpiredBodyIsRejectedAndRunsNothing)
{
    agent.receive(get("reports", agent.token(1), 1));
    agent.complete(0, std::string(2500, 'r'));
    agent.runFor(31s);
    packet next = get("reports", agent.token(2), 2);
    next.block2 = { 1, false, 6 };
    agent.receive(next);
    CHECK_TRUE(agent.last().code() == message_code::requestEntityIncomplete);
    CHECK_EQUAL(1, agent.actions.jobs.size());

    agent.receive(get("reports", agent.token(3), 3));
    CHECK_EQUAL(2, agent.actions.jobs.size());
}

TEST(agent_core, RepeatedFirstBlockOfAnOpenDownloadIsServedFromItsBody)
{
    packet request = get("reports", agent.token(1), 1);
    request.block2 = { 0, false, 2 };
    agent.receive(request);
    agent.complete(0, std::string(1500, 'r'));
    CHECK_EQUAL(64, agent.last().payload().size());
    CHECK_EQUAL(1500, *agent.last().uintOption(oriolehold::coap::option_number::size2));
    const auto etag = *agent.last().option(oriolehold::coap::option_number::etag);
    const byte_vector first(etag.begin(), etag.end());
    request.messageId = 2;
    agent.receive(request);

    CHECK_EQUAL(1, agent.actions.jobs.size());
    CHECK_TRUE(
            std::ranges::equal(first, *agent.last().option(oriolehold::coap::option_number::etag)));

    agent.runFor(10s);
    request.messageId = 3;
    agent.receive(request);
    CHECK_EQUAL(2, agent.actions.jobs.size()); // a new request
}

TEST(agent_core, RepeatedDownloadRequestJoinsTheRunningOne)
{
    agent.receive(get("reports", agent.token(1), 1));
    agent.receive(get("reports", agent.token(2), 2));
    agent.complete(0, "report");

    CHECK_EQUAL(1, agent.actions.jobs.size());
    CHECK_EQUAL(2, agent.actions.deliveries.size());
}

TEST(agent_core, DrainWaitsForAnOpenDownload)
{
    agent.receive(get("reports", agent.token(1), 1));
    agent.complete(0, std::string(1500, 'r'));
    agent.core->drain(agent.now);
    agent.runFor(6s);
    CHECK_FALSE(agent.core->drained(agent.now));

    packet next = get("reports", agent.token(2), 2);
    next.block2 = { 1, false, 6 };
    agent.receive(next);
    CHECK_EQUAL(500 - 24, agent.last().payload().size());
    agent.runFor(5s);
    CHECK_TRUE(agent.core->drained(agent.now));
}

TEST(agent_core, DrainRedirectsIdempotentRequestsToAnotherUpstream)
{
    auto content = makeContent();
    content.generation = 2;
    content.upstreams[0].state = upstream_state::leaving;
    content.upstreams[2].state = upstream_state::leaving;
    agent.core->configure(publish(content), agent.now);
    agent.receive(get("guides", agent.token(1)));

    CHECK_TRUE(agent.last().code() == message_code::unauthorized);
    CHECK_TRUE(agent.lastEcho().upstream == upstreamTwo);
    CHECK_FALSE(agent.lastEcho().isBound());
    CHECK_TRUE(agent.core->report(agent.now).state == agent_state::draining);
    CHECK_EQUAL(0, agent.actions.jobs.size());
}

TEST(agent_core, DrainEndsAtItsLimit)
{
    agent.receive(order(agent.token(1)));
    agent.core->drain(agent.now);
    agent.pauseFor(agent.options.drainLimit);
    CHECK_TRUE(agent.core->drained(agent.now));
}

TEST(agent_core, OlderConfigurationIsIgnored)
{
    auto content = makeContent();
    content.upstreams[0].state = upstream_state::leaving;
    CHECK_FALSE(agent.core->configure(publish(content), agent.now));
    CHECK_TRUE(agent.core->report(agent.now).state == agent_state::warming);
}
