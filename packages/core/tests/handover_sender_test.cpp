#include "internal/handover_sender.h"

#include "internal/observe_sequence.h"

#include "agent_fakes.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;
using oriolehold::coap::asBytes;
using oriolehold::coap::message_code;
using oriolehold::coap::message_type;
using oriolehold::coap::option_number;

// Handovers between three agents over a network that loses and duplicates messages on request.
TEST_GROUP(handover_sender)
{
    agent_under_test one { upstreamOne };
    agent_under_test two { upstreamTwo };
    agent_under_test three { upstreamThree };
    std::vector<std::pair<endpoint, agent_under_test *>> agents { { agentOne, &one },
                                                                  { agentTwo, &two },
                                                                  { agentThree, &three } };
    std::vector<endpoint> unreachable;
    std::set<handover_step> lostSteps;        // the next message of each step is lost
    std::optional<handover_step> blockedStep; // all messages of this step are lost
    bool duplicate = false;
    std::vector<handover_step> steps; // of the delivered messages
    handover_message lastCommit;

    bool isUnreachable(const endpoint &address) const
    {
        return std::ranges::find(unreachable, address) != unreachable.end();
    }
    void exchangeMessages()
    {
        for (bool delivered = true; delivered;) {
            delivered = false;
            for (const auto &[from, sender] : agents) {
                if (sender->actions.handovers.empty())
                    continue;
                const auto [to, message] = sender->actions.handovers.front();
                sender->actions.handovers.pop_front();
                delivered = true;
                if (message.step == handover_step::commit)
                    lastCommit = message;
                const bool lost = isUnreachable(to) || isUnreachable(from)
                        || lostSteps.erase(message.step) > 0 || blockedStep == message.step;
                agent_under_test *receiver =
                        std::ranges::find(agents, to,
                                          &std::pair<endpoint, agent_under_test *>::first)
                                ->second;
                for (int copies = lost ? 0 : duplicate ? 2 : 1; copies > 0; --copies) {
                    steps.push_back(message.step);
                    receiver->core->receiveHandover(from, message, receiver->now);
                }
            }
        }
    }
    void runFor(duration time)
    {
        for (duration step = 50ms; time > 0ms; time -= step) {
            for (const auto &[address, agent] : agents)
                agent->runFor(step);
            exchangeMessages();
        }
    }
    void subscribe(std::uint8_t token = 7)
    {
        packet registration = get("stock", one.token(token), token);
        registration.observe = 0;
        registration.token = { token };
        one.receive(registration);
        update(one, "5 left");
    }
    static void update(agent_under_test & agent, std::string_view content)
    {
        for (const auto &[feed, state] : agent.actions.startedFeeds)
            agent.core->updateFeed(feed, asBytes(content), agent.now);
    }
    std::size_t owners() const
    {
        std::size_t count = 0;
        for (const auto &[address, agent] : agents)
            count += agent->actions.startedFeeds.size() - agent->actions.stoppedFeeds.size();
        return count;
    }
    agent_under_test &newOwner()
    {
        return two.actions.startedFeeds.empty() ? three : two;
    }
};

TEST(handover_sender, FeedContinuesAtTheNewOwnerWithTheSameTokenAndAHigherNumber)
{
    subscribe();
    const std::uint32_t before = *one.last().uintOption(option_number::observe);
    one.core->drain(one.now);
    exchangeMessages();
    update(newOwner(), "4 left");

    CHECK_TRUE((steps
                == std::vector { handover_step::offer, handover_step::accept, handover_step::commit,
                                 handover_step::done }));
    const auto notification = newOwner().last();
    CHECK_TRUE(notification.token()[0] == 7);
    CHECK_TRUE(internal::isNewerObserve(*notification.uintOption(option_number::observe), before));
    CHECK_EQUAL(toInteger(newOwner().options.upstream), notification.messageId() >> 8);
    CHECK_TRUE(notification.type() == message_type::confirmable);
    CHECK_EQUAL(1, owners());
    runFor(5s);
    CHECK_TRUE(one.core->drained(one.now));
}

TEST(handover_sender, AnyLostMessageIsRepeatedAndTheFeedHasOneOwner)
{
    for (const handover_step step : { handover_step::offer, handover_step::accept,
                                      handover_step::commit, handover_step::done }) {
        agent_under_test old { upstreamOne };
        agent_under_test target { upstreamTwo };
        agents = { { agentOne, &old }, { agentTwo, &target } };
        auto content = makeContent();
        content.generation = 2;
        content.upstreams.pop_back();
        old.core->configure(publish(content), old.now);
        packet registration = get("stock", old.token(1));
        registration.observe = 0;
        old.receive(registration);
        update(old, "5 left");

        lostSteps = { step };
        old.core->drain(old.now);
        exchangeMessages();
        runFor(1s);
        CHECK_EQUAL(1, owners());
        CHECK_EQUAL(1, target.actions.startedFeeds.size());
        CHECK_EQUAL(0, old.core->report(old.now).connections);
    }
}

TEST(handover_sender, DuplicatedMessagesHaveNoEffect)
{
    duplicate = true;
    for (std::uint8_t token = 1; token <= 5; ++token)
        subscribe(token);
    one.core->drain(one.now);
    exchangeMessages();
    runFor(1s);

    CHECK_EQUAL(5, owners());
    CHECK_EQUAL(5, one.actions.stoppedFeeds.size());
    CHECK_EQUAL(5,
                two.core->report(two.now).connections + three.core->report(three.now).connections);
}

TEST(handover_sender, OldOwnerSendsNothingAfterTheCommitEvenWhenItIsLost)
{
    subscribe();
    for (int i = 0; i < 16; ++i)
        update(one, std::to_string(i));
    CHECK_TRUE(one.last().type() == message_type::confirmable); // without an acknowledgement
    blockedStep = handover_step::commit;
    one.core->drain(one.now);
    exchangeMessages();
    const std::size_t sent = one.actions.deliveries.size();
    update(one, "4 left");
    runFor(10s);
    CHECK_EQUAL(sent, one.actions.deliveries.size());
    CHECK_EQUAL(0, owners());

    blockedStep.reset();
    runFor(3s);
    CHECK_EQUAL(1, owners());
    CHECK_EQUAL(0, one.core->report(one.now).connections);
}

TEST(handover_sender, LateDuplicateOfACommitDoesNotReopenAFeedThatHasEnded)
{
    subscribe();
    one.core->drain(one.now);
    exchangeMessages();
    agent_under_test &owner = newOwner();
    update(owner, "4 left");
    owner.receiveEmpty(message_type::reset, owner.last().messageId());
    CHECK_EQUAL(0, owners());

    owner.core->receiveHandover(agentOne, lastCommit, owner.now);
    CHECK_EQUAL(0, owners());
}

TEST(handover_sender, UnresponsiveTargetIsReplacedBeforeTheCommit)
{
    for (std::uint8_t token = 1; token <= 4; ++token)
        subscribe(token);
    unreachable = { agentTwo };
    one.core->drain(one.now);
    exchangeMessages();
    runFor(2s);

    CHECK_EQUAL(4, three.actions.startedFeeds.size());
    CHECK_EQUAL(4, owners());
}

TEST(handover_sender, RefusingTargetIsReplaced)
{
    two.core->drain(two.now);
    subscribe();
    one.core->drain(one.now);
    exchangeMessages();
    runFor(1s);

    CHECK_EQUAL(0, two.actions.startedFeeds.size());
    CHECK_EQUAL(1, three.actions.startedFeeds.size());
}

TEST(handover_sender, OwnerWithoutATargetKeepsNotifying)
{
    unreachable = { agentTwo, agentThree };
    subscribe();
    one.core->drain(one.now);
    exchangeMessages();
    runFor(10s);
    update(one, "4 left");
    CHECK_TRUE(one.lastPayload() == "4 left");

    unreachable.clear();
    runFor(7s);
    CHECK_EQUAL(1, owners());
    CHECK_EQUAL(1, one.actions.stoppedFeeds.size());
}

TEST(handover_sender, CommitAfterARestartOfTheTargetIsAccepted)
{
    subscribe();
    one.core->drain(one.now);
    lostSteps = { handover_step::commit };
    exchangeMessages();
    two.restart(makeContent()); // loses its reservation
    three.restart(makeContent());
    runFor(1s);
    CHECK_EQUAL(1, owners());
    CHECK_EQUAL(0, one.core->report(one.now).connections);
}

TEST(handover_sender, LateRegistrationAtTheOldOwnerIsRedirectedToTheNewOne)
{
    subscribe();
    one.core->drain(one.now);
    exchangeMessages();
    packet registration = get("stock", one.token(2), 50);
    registration.observe = 0;
    one.receive(registration);

    CHECK_TRUE(one.last().code() == message_code::unauthorized);
    CHECK_TRUE(one.lastEcho().upstream == newOwner().options.upstream);

    registration.echo.assign(one.last().option(option_number::echo)->begin(),
                             one.last().option(option_number::echo)->end());
    newOwner().receive(registration);
    CHECK_EQUAL(1, owners()); // refreshed, not created again
}

TEST(handover_sender, FeedThatEndsBeforeTheCommitIsNotHandedOver)
{
    subscribe();
    one.core->drain(one.now);
    packet deregistration = get("stock", one.token(2), 50);
    deregistration.observe = 1;
    one.receive(deregistration);
    exchangeMessages();
    runFor(15s);

    CHECK_EQUAL(0, owners());
    CHECK_EQUAL(0,
                two.core->report(two.now).connections + three.core->report(three.now).connections);
}

TEST(handover_sender, OwnerThatWasPausedForTooLongDoesNotCommit)
{
    subscribe();
    one.core->drain(one.now);
    one.now += 16s; // three keep-alive intervals of 5 s have passed
    exchangeMessages();

    CHECK_EQUAL(0, std::ranges::count(steps, handover_step::commit));
}

TEST(handover_sender, MessageOfAnotherServiceIsDropped)
{
    handover_message commit { handover_step::commit, 1, firstIncarnation, {} };
    commit.feed.service = service_id { 9 };
    two.core->receiveHandover(agentOne, commit, two.now);
    two.core->receiveHandover({ 1, 1 }, commit, two.now);
    CHECK_EQUAL(2, two.core->dropped(result_code::wrongService));
    CHECK_EQUAL(0, owners());
}

// Guards against a feed that ends with its owner, because the other agents drop the offers of an
// owner that the document does not contain any more.
TEST(handover_sender, FeedOfARemovedOwnerIsHandedOver)
{
    subscribe();
    configuration_content content = makeContent();
    content.generation = 2;
    std::erase_if(content.upstreams, [](const upstream &item) { return item.id == upstreamOne; });
    for (const auto &[address, agent] : agents)
        agent->core->configure(publish(content), agent->now);
    exchangeMessages();
    update(newOwner(), "4 left");

    CHECK_EQUAL(1, one.actions.stoppedFeeds.size());
    CHECK_EQUAL(1, owners());
    CHECK_TRUE(newOwner().last().token()[0] == 7);
    CHECK_EQUAL(0, newOwner().core->dropped(result_code::wrongService));
}
