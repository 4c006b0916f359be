#include "internal/feed_service.h"

#include "internal/observe_sequence.h"

#include "agent_fakes.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;
using oriolehold::coap::asBytes;
using oriolehold::coap::message_code;
using oriolehold::coap::message_type;
using oriolehold::coap::option_number;

TEST_GROUP(feed_service)
{
    agent_under_test agent;

    feed_id subscribe(std::uint16_t messageId = 1, byte_vector token = { 7 })
    {
        packet registration = get("stock", agent.token(1), messageId);
        registration.observe = 0;
        registration.token = std::move(token);
        agent.receive(registration);
        return agent.actions.startedFeeds.back().first;
    }
    feed_id subscribeWithState()
    {
        const feed_id feed = subscribe();
        update(feed, "5 left");
        return feed;
    }
    void update(feed_id feed, std::string_view content)
    {
        agent.core->updateFeed(feed, asBytes(content), agent.now);
    }
    std::uint32_t lastNumber() const
    {
        return *agent.last().uintOption(option_number::observe);
    }
};

TEST(feed_service, NotificationsHaveIncreasingNumbersAndMessageIdsOfTheUpstream)
{
    const feed_id feed = subscribeWithState();
    CHECK_TRUE(agent.last().type() == message_type::acknowledgement);
    const std::uint32_t first = lastNumber();
    update(feed, "4 left");

    CHECK_TRUE(agent.last().type() == message_type::nonConfirmable);
    CHECK_TRUE(agent.lastPayload() == "4 left");
    CHECK_EQUAL(1, agent.last().messageId() >> 8);
    CHECK_EQUAL(5, *agent.last().uintOption(option_number::maxAge));
    CHECK_TRUE(internal::isNewerObserve(lastNumber(), first));
    CHECK_TRUE(agent.lastEcho().incarnation == firstIncarnation);
}

TEST(feed_service, NumbersStayNewerWhenTheyWrap)
{
    std::uint32_t last = internal::observeMask - 1;
    for (int i = 0; i < 4; ++i) {
        const std::uint32_t next = internal::nextObserve(last, time_point {});
        CHECK_TRUE(internal::isNewerObserve(next, last));
        last = next;
    }
}

TEST(feed_service, LastStateIsRepeatedWithinTheKeepAliveInterval)
{
    subscribeWithState();
    agent.runFor(agent.options.keepAlive);
    CHECK_EQUAL(2, agent.actions.deliveries.size());
    CHECK_TRUE(agent.lastPayload() == "5 left");
}

TEST(feed_service, EverySixteenthNotificationIsConfirmable)
{
    const feed_id feed = subscribeWithState();
    for (int i = 0; i < 16; ++i)
        update(feed, std::to_string(i));
    const auto &sent = agent.actions.deliveries;
    CHECK_EQUAL(1, std::ranges::count_if(sent, [](const delivery &item) {
                    return item.view().type() == message_type::confirmable;
                }));
    CHECK_TRUE(agent.last().type() == message_type::confirmable);
}

TEST(feed_service, UnresponsiveCallerGetsAConfirmableNotificationWithinTwentySecondsAndIsRemoved)
{
    const feed_id feed = subscribeWithState();
    agent.runFor(20s);
    CHECK_TRUE(std::ranges::any_of(agent.actions.deliveries, [](const delivery &item) {
        return item.view().type() == message_type::confirmable;
    }));
    CHECK_EQUAL(0, agent.actions.stoppedFeeds.size());

    agent.runFor(62s); // 2 s + 4 s + 8 s + 16 s + 32 s without an acknowledgement

    CHECK_TRUE(agent.actions.stoppedFeeds == std::vector { feed });
    CHECK_EQUAL(0, agent.core->report(agent.now).connections);
}

TEST(feed_service, AcknowledgedFeedStaysOpen)
{
    subscribeWithState();
    for (int i = 0; i < 60; ++i) {
        agent.runFor(5s);
        if (agent.last().type() == message_type::confirmable)
            agent.receiveEmpty(message_type::acknowledgement, agent.last().messageId());
    }
    CHECK_EQUAL(0, agent.actions.stoppedFeeds.size());
}

TEST(feed_service, ResetOfAnEarlierNotificationEndsTheFeed)
{
    const feed_id feed = subscribeWithState();
    update(feed, "4 left");
    const std::uint16_t rejected = agent.last().messageId();
    update(feed, "3 left");
    agent.receiveEmpty(message_type::reset, rejected);

    CHECK_TRUE(agent.actions.stoppedFeeds == std::vector { feed });
    update(feed, "2 left");
    CHECK_TRUE(agent.lastPayload() == "3 left");
}

TEST(feed_service, DeregistrationIsAnsweredAndEndsTheFeed)
{
    const feed_id feed = subscribeWithState();
    packet request = get("stock", agent.token(2), 2);
    request.observe = 1;
    agent.receive(request);

    CHECK_TRUE(agent.lastPayload() == "5 left");
    CHECK_FALSE(agent.last().option(option_number::observe));
    CHECK_TRUE(agent.actions.stoppedFeeds == std::vector { feed });
}

TEST(feed_service, RepeatedRegistrationRefreshesTheFeed)
{
    subscribeWithState();
    const std::uint32_t first = lastNumber();
    subscribe(2);

    CHECK_EQUAL(1, agent.actions.startedFeeds.size());
    CHECK_TRUE(agent.lastPayload() == "5 left");
    CHECK_TRUE(internal::isNewerObserve(lastNumber(), first));
}

TEST(feed_service, RegistrationBeforeTheFirstStateIsAnsweredSeparately)
{
    const feed_id feed = subscribe();
    agent.runFor(600ms);
    CHECK_TRUE(agent.last().isEmpty());
    update(feed, "5 left");
    CHECK_TRUE(agent.last().type() == message_type::confirmable);
    CHECK_TRUE(agent.last().option(option_number::observe).has_value());
}

TEST(feed_service, RegistrationWithoutAStateByItsDeadlineIsUnknown)
{
    const feed_id feed = subscribe();
    agent.runFor(2s);
    CHECK_TRUE(agent.lastCode() == result_code::upstreamTimeout);
    CHECK_TRUE(agent.actions.stoppedFeeds == std::vector { feed });
}

TEST(feed_service, FeedsBeyondTheConnectionLimitAreRefused)
{
    for (std::uint8_t i = 0; i < 11; ++i)
        subscribe(i, { i });
    CHECK_EQUAL(10, agent.actions.startedFeeds.size());
    CHECK_EQUAL(10, agent.core->report(agent.now).connections);
    CHECK_TRUE(agent.lastCode() == result_code::connectionLimit);
}

// Guards against a caller that loses its feed when it registers for another resource under the same
// token, because the connection that this frees was not counted.
TEST(feed_service, FeedIsReplacedAtTheConnectionLimit)
{
    for (std::uint8_t i = 0; i < 10; ++i)
        subscribe(i, { i });
    packet registration = get("stock", agent.token(1), 20);
    registration.observe = 0;
    registration.token = { 3 };
    registration.query = "id=2";
    agent.receive(registration);
    CHECK_EQUAL(11, agent.actions.startedFeeds.size());
    CHECK_EQUAL(1, agent.actions.stoppedFeeds.size());
    CHECK_EQUAL(10, agent.core->report(agent.now).connections);
}

TEST(feed_service, FeedThatTheUpstreamEndsIsEndedForTheCaller)
{
    const feed_id feed = subscribeWithState();
    agent.core->endFeed(feed, agent.now);
    CHECK_TRUE(agent.last().code() == message_code::gatewayTimeout);
    CHECK_FALSE(agent.last().option(option_number::observe));
    CHECK_EQUAL(0, agent.core->report(agent.now).connections);
}

TEST(feed_service, FeedOfAPausedOwnerIsRemoved)
{
    const feed_id feed = subscribeWithState();
    agent.pauseFor(16s); // three keep-alive intervals of 5 s have passed
    CHECK_TRUE(agent.actions.stoppedFeeds == std::vector { feed });
    CHECK_EQUAL(1, agent.actions.deliveries.size());
}

TEST(feed_service, FastUpdatesAreMergedBeforeMessageIdsRepeat)
{
    const feed_id feed = subscribeWithState();
    std::vector<std::uint16_t> used;
    for (int i = 0; i < 3000; ++i) {
        update(feed, std::to_string(i));
        agent.runFor(50ms);
        for (const delivery &item : agent.actions.deliveries) {
            if (item.view().type() == message_type::confirmable)
                agent.receiveEmpty(message_type::acknowledgement, item.view().messageId());
        }
    }
    for (const delivery &item : agent.actions.deliveries)
        used.push_back(item.view().messageId());
    std::ranges::sort(used);
    CHECK_TRUE(std::ranges::adjacent_find(used) == used.end()); // 150 s, below EXCHANGE_LIFETIME
    agent.runFor(5s);
    CHECK_TRUE(agent.lastPayload() == "2999");
}

TEST(feed_service, LargeStateIsReadBlockByBlock)
{
    const feed_id feed = subscribe();
    update(feed, std::string(1500, 's'));
    CHECK_TRUE(agent.last().block2()->more);
    packet next = get("stock", agent.token(2), 2);
    next.block2 = { 1, false, 6 };
    agent.receive(next);
    CHECK_EQUAL(1500 - 1024, agent.last().payload().size());
    CHECK_EQUAL(0, agent.actions.jobs.size());
}
