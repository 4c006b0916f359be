#include "internal/job_service.h"

#include "agent_fakes.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;
using oriolehold::coap::message_code;

// Redirects to another upstream, and the predictions that the scheduler and the admission policy
// receive. The agent has one slot and a mean service time of 10 ms, so the slot is blocked after
// 20 ms and a job is redirected after a wait of 10 ms.
TEST_GROUP(job_service)
{
    agent_under_test agent;

    void setup() override
    {
        recordServiceTimes(agent);
    }
    static void recordServiceTimes(agent_under_test & target)
    {
        for (std::uint16_t i = 0; i < 3; ++i) {
            target.receive(order(target.token(100u + i), static_cast<std::uint16_t>(100 + i)));
            target.runFor(10ms);
            target.complete(i, "booked");
        }
        target.receive(order(target.token(200), 200)); // the straggler, job 3
    }
    bool isRedirected() const
    {
        return agent.lastCode() == result_code::challenge
                && agent.lastEcho().upstream != upstreamOne && !agent.lastEcho().isBound();
    }
};

// Guards against head-of-line blocking, and against an order that runs at two upstreams.
TEST(job_service, OrderBehindAStragglerIsRedirectedAndNeverRunsHere)
{
    agent.receive(order(agent.token(1), 1));
    agent.runFor(19ms);
    CHECK_EQUAL(3, agent.actions.deliveries.size());
    agent.runFor(1ms);

    CHECK_TRUE(isRedirected());
    CHECK_EQUAL(1, agent.lastEcho().hops);
    agent.complete(3, "late");
    agent.runFor(1s);
    CHECK_EQUAL(4, agent.actions.jobs.size());
}

TEST(job_service, OrderThatArrivesBehindAStragglerWaitsBeforeItIsRedirected)
{
    agent.runFor(100ms);
    agent.receive(order(agent.token(1), 1));
    agent.runFor(9ms);
    CHECK_FALSE(isRedirected());
    agent.runFor(1ms);
    CHECK_TRUE(isRedirected());
}

// Guards against redirects behind normal work, which another upstream would not finish sooner.
TEST(job_service, OrderBehindWorkWithinItsPredictionStaysQueued)
{
    agent.receive(order(agent.token(1), 1));
    agent.runFor(15ms);
    agent.complete(3, "booked");

    CHECK_EQUAL(5, agent.actions.jobs.size());
}

TEST(job_service, OrderWaitsLongerWhileOnlySomeSlotsAreBlocked)
{
    configuration_content content = makeContent();
    content.upstreams[0].slots = 2;
    agent_under_test wide(upstreamOne, {}, content);
    recordServiceTimes(wide);
    wide.runFor(100ms); // the straggler blocks one slot
    for (std::uint16_t ticket = 1; ticket <= 6; ++ticket)
        wide.receive(order(wide.token(ticket), ticket));
    for (const std::size_t job : { 4, 5 }) {
        wide.runFor(10ms);
        wide.complete(job, "booked");
    }
    wide.runFor(9ms);
    CHECK_EQUAL(3, wide.core->report(wide.now).queued);
    wide.runFor(1ms);

    CHECK_EQUAL(0, wide.core->report(wide.now).queued);
    CHECK_EQUAL(7, wide.actions.jobs.size());
    CHECK_TRUE(wide.lastEcho().hops == 1);
}

// Guards against an order that runs twice because two copies were sent to two other upstreams.
TEST(job_service, EveryCopyOfARedirectedOrderGetsTheSameToken)
{
    agent.receive(order(agent.token(1), 1));
    agent.receive(order(agent.token(1), 2), entryB);
    agent.runFor(20ms);
    const flow_token second = agent.lastEcho();
    CHECK_EQUAL(5, agent.actions.deliveries.size());
    const delivery &first = agent.actions.deliveries[3];
    CHECK_TRUE(std::ranges::equal(*first.view().option(oriolehold::coap::option_number::echo),
                                  *agent.last().option(oriolehold::coap::option_number::echo)));
    agent.receive(order(agent.token(1, firstIncarnation), 3));

    CHECK_TRUE(agent.lastEcho() == second);
    CHECK_EQUAL(4, agent.actions.jobs.size());
}

TEST(job_service, OrderThatWasRedirectedTwiceStaysQueued)
{
    agent.receive(order(agent.token(1, firstIncarnation, 0, maxFlowHops), 1));
    agent.runFor(100ms);
    CHECK_EQUAL(1, agent.core->report(agent.now).queued);
    agent.complete(3, "late");

    CHECK_EQUAL(5, agent.actions.jobs.size());
}

// Guards against endless redirects: without the hop count in the bound token, counting would
// restart.
TEST(job_service, BoundTokenKeepsTheHopCount)
{
    agent.receive(order(agent.token(1, incarnation::unknown, 0, 1), 1));

    CHECK_TRUE(agent.lastEcho().incarnation == firstIncarnation);
    CHECK_EQUAL(1, agent.lastEcho().hops);
}

// Guards against an order that two upstreams send to each other, because one has an older document
// and the other drains, until the caller follows no further challenge.
TEST(job_service, RedirectOfADrainCountsAsAHop)
{
    agent.core->drain(agent.now);
    agent.receive(order(agent.token(1), 1));
    CHECK_TRUE(isRedirected());
    CHECK_EQUAL(1, agent.lastEcho().hops);
    agent.receive(order(agent.token(2, incarnation::unknown, 0, 1), 2));
    CHECK_TRUE(isRedirected());
    CHECK_EQUAL(2, agent.lastEcho().hops);
    agent.receive(get("reports", agent.token(3, incarnation::unknown, 0, 1), 3));
    CHECK_TRUE(isRedirected());
    CHECK_EQUAL(2, agent.lastEcho().hops);
}

// Guards against a drain that refuses an order because it was redirected twice before.
TEST(job_service, DrainRedirectsAnOrderThatWasRedirectedTwice)
{
    agent.core->drain(agent.now);
    agent.receive(order(agent.token(1, firstIncarnation, 0, maxFlowHops), 1));
    CHECK_TRUE(isRedirected());
    CHECK_EQUAL(maxFlowHops, agent.lastEcho().hops);
    agent.receive(order(agent.token(2, incarnation::unknown, 0, maxFlowHops), 2));
    CHECK_TRUE(isRedirected());
    CHECK_EQUAL(maxFlowHops, agent.lastEcho().hops);
}

TEST(job_service, IdempotentRequestIsRedirectedAndADownloadStaysQueued)
{
    agent.receive(get("reports", agent.token(1), 1));
    agent.receive(get("guides", agent.token(2), 2));
    agent.runFor(100ms);

    CHECK_TRUE(isRedirected());
    CHECK_EQUAL(2, agent.last().messageId());
    CHECK_EQUAL(4, agent.actions.deliveries.size());
    CHECK_EQUAL(1, agent.core->report(agent.now).queued);
}

TEST(job_service, OrderStaysQueuedWhileNoOtherUpstreamIsLive)
{
    agent_under_test single(upstreamOne, {}, makeSingleContent());
    recordServiceTimes(single);
    single.receive(order(single.token(1), 1));
    single.runFor(500ms);
    CHECK_EQUAL(1, single.core->report(single.now).queued);
    single.complete(3, "late");

    CHECK_EQUAL(5, single.actions.jobs.size());
}

TEST(job_service, RefusedOrderIsRedirectedWithOneTokenForAllCopies)
{
    agent.scheduler.expectedWaitResult = 10s;
    agent.receive(order(agent.token(1), 1));
    CHECK_TRUE(isRedirected());
    const flow_token first = agent.lastEcho();
    agent.scheduler.expectedWaitResult = 0s;
    agent.receive(order(agent.token(1), 2));

    CHECK_TRUE(agent.lastEcho() == first);
    agent.complete(3, "late");
    CHECK_EQUAL(4, agent.actions.jobs.size());
}

// Guards against redirects that multiply the traffic when the whole service is overloaded.
TEST(job_service, RedirectsInsteadOfRefusalsAreLimited)
{
    agent.scheduler.expectedWaitResult = 10s;
    int redirected = 0;
    for (std::uint16_t i = 1; i <= 100; ++i) {
        agent.receive(order(agent.token(i), i));
        redirected += isRedirected() ? 1 : 0;
    }

    CHECK_TRUE(redirected >= 10);
    CHECK_TRUE(redirected <= 12);
    CHECK_EQUAL(4, agent.actions.jobs.size());
}

// Guards against an agent that refuses all work because stragglers have raised its predictions.
TEST(job_service, JobThatStartsAtOnceIsAdmittedRegardlessOfItsPrediction)
{
    agent_under_test slow;
    slow.receive(order(slow.token(1), 1));
    slow.runFor(1900ms);
    slow.complete(0, "booked");
    packet urgent = order(slow.token(2), 2);
    urgent.query = "deadline=100";
    slow.receive(urgent);

    CHECK_EQUAL(2, slow.actions.jobs.size());
}

TEST(job_service, OnlyAClassWithoutCompletedJobsHasAnUnknownServiceTime)
{
    CHECK_TRUE(agent.scheduler.expectedServiceTimes.front() == 0ms);
    CHECK_TRUE(agent.scheduler.expectedServiceTimes.back() == 10ms);
    agent.receive(get("guides", agent.token(1), 1));
    CHECK_TRUE(agent.scheduler.expectedServiceTimes.back() == 0ms);
}

TEST(job_service, JobThatExceedsItsPredictionIsExpectedToContinue)
{
    agent.runFor(25ms);
    agent.core->report(agent.now);

    CHECK_TRUE(agent.scheduler.lastRunning == std::vector<duration> { 40ms });
}
