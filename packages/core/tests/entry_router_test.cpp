#include "oriolehold/core/entry_router.h"

#include "entry_router_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::core;
using namespace oriolehold::core::testing;
using coap::message_code;
using coap::message_type;

namespace {

using owner_set = std::set<std::uint16_t>;

bool isForwardTo(const route_decision &decision, std::uint16_t id)
{
    return decision.verdict == route_verdict::forward && decision.agent == agentOf(id);
}

bool isReply(const route_decision &decision, result_code code, message_code expected)
{
    return decision.verdict == route_verdict::reply && decision.code == code
            && coap::message_view::parse(decision.reply)->code() == expected;
}

bool isChallenge(const route_decision &decision)
{
    return isReply(decision, result_code::challenge, message_code::unauthorized);
}

bool isDrop(const route_decision &decision, result_code code)
{
    return decision.verdict == route_verdict::drop && decision.code == code;
}

coap::byte_vector emptyMessage(message_type type, std::uint16_t messageId)
{
    return coap::message_builder(type, message_code::empty, messageId).toVector();
}

} // namespace

TEST_GROUP(entry_router)
{
    router_fixture fixture;
};

TEST(entry_router, RequestWithoutEchoIsChallengedWithTokenOfItsService)
{
    const route_decision decision = fixture.route(stockRequest());
    CHECK_TRUE(isChallenge(decision));
    const auto response = coap::message_view::parse(decision.reply);
    CHECK_TRUE(response->type() == message_type::acknowledgement);
    CHECK_EQUAL(0x0102, response->messageId());
    CHECK_TRUE(parseDiagnostic(response->payload()) == result_code::challenge);
    const flow_token token = fixture.challengedToken(decision);
    CHECK_TRUE(token.service == orders);
    CHECK_TRUE(token.agent == agentOf(toInteger(token.upstream)));
}

TEST(entry_router, TokensOfTwoChallengesHaveDifferentTickets)
{
    const ticket_number first = fixture.challengedToken(fixture.route(orderRequest())).ticket;
    CHECK_FALSE(first == fixture.challengedToken(fixture.route(orderRequest())).ticket);
}

TEST(entry_router, NonConfirmableRequestGetsNonConfirmableResponse)
{
    const route_decision decision =
            fixture.route(request(message_code::get, "stock", {}, message_type::nonConfirmable));
    CHECK_TRUE(coap::message_view::parse(decision.reply)->type() == message_type::nonConfirmable);
}

TEST(entry_router, ChallengeIsBoundOnlyToRecentlyReportedIncarnation)
{
    CHECK_FALSE(fixture.challengedToken(fixture.route(stockRequest())).isBound());
    for (const std::uint16_t id : owner_set { 1, 2, 3 })
        fixture.report(id, 4711);
    CHECK_TRUE(fixture.challengedToken(fixture.route(stockRequest())).incarnation
               == incarnation { 4711 });
    fixture.now += 10s;
    CHECK_FALSE(fixture.challengedToken(fixture.route(stockRequest())).isBound());
}

TEST(entry_router, RequestWithValidTokenIsForwardedToItsOwner)
{
    for (const std::uint16_t id : owner_set { 1, 2, 3 })
        CHECK_TRUE(isForwardTo(fixture.route(orderRequest(fixture.tokenFor(id))), id));
}

TEST(entry_router, TokenOfAnotherServiceIsNeverForwarded)
{
    const flow_token_bytes token = fixture.tokenFor(4, catalog);
    CHECK_TRUE(isChallenge(fixture.route(stockRequest(token))));
    CHECK_TRUE(isReply(fixture.route(orderRequest(token)), result_code::tokenInvalid,
                       message_code::gatewayTimeout));
}

TEST(entry_router, TokenWithAgentOfAnotherServiceIsNeverForwarded)
{
    const flow_token_bytes token = fixture.tokenFor(4, orders);
    CHECK_TRUE(isReply(fixture.route(orderRequest(token)), result_code::tokenInvalid,
                       message_code::gatewayTimeout));
}

TEST(entry_router, InvalidTokenIsChallengedOnlyForIdempotentRequests)
{
    flow_token_bytes forged = fixture.tokenFor(1);
    forged.back() ^= 1;
    CHECK_TRUE(isChallenge(fixture.route(stockRequest(forged))));
    const route_decision decision = fixture.route(orderRequest(forged));
    CHECK_TRUE(isReply(decision, result_code::tokenInvalid, message_code::gatewayTimeout));
    CHECK_TRUE(coap::asText(coap::message_view::parse(decision.reply)->payload())
                       .starts_with("3004 token-invalid "));
}

TEST(entry_router, RequestWithoutMatchingClassIsNotFound)
{
    CHECK_TRUE(isReply(fixture.route(request(message_code::get, "other")), result_code::noSuchClass,
                       message_code::notFound));
    CHECK_TRUE(isReply(fixture.route(request(message_code::put, "stock")), result_code::noSuchClass,
                       message_code::notFound));
}

TEST(entry_router, EmptyAcknowledgementAndResetAreRoutedByMessageId)
{
    for (const message_type type : { message_type::acknowledgement, message_type::reset }) {
        CHECK_TRUE(isForwardTo(fixture.route(emptyMessage(type, 0x0234)), 2));
        CHECK_TRUE(isDrop(fixture.route(emptyMessage(type, 0x0434)), result_code::unknownOwner));
    }
}

TEST(entry_router, PingIsAnsweredWithReset)
{
    const route_decision decision = fixture.route(emptyMessage(message_type::confirmable, 0x4321));
    CHECK_TRUE(decision.verdict == route_verdict::reply);
    const auto reset = coap::message_view::parse(decision.reply);
    CHECK_TRUE(reset->type() == message_type::reset);
    CHECK_EQUAL(0x4321, reset->messageId());
}

TEST(entry_router, InvalidPacketsAreDroppedWithTheirReason)
{
    CHECK_TRUE(
            isDrop(fixture.route(std::array<std::uint8_t, 2> {}), result_code::malformedMessage));
    CHECK_TRUE(isDrop(fixture.route(emptyMessage(message_type::nonConfirmable, 1)),
                      result_code::malformedMessage));
    CHECK_TRUE(isDrop(fixture.route(request(message_code::content, "stock")),
                      result_code::unsolicitedResponse));
    CHECK_TRUE(
            isDrop(fixture.route(stockRequest(), service_id { 9 }), result_code::unknownService));
}

TEST(entry_router, NoReplyExceedsThreeTimesTheRequest)
{
    // The shortest requests with and without a CoAP token, for every path and method.
    for (const std::size_t tokenSize : { 0, 1, 8 }) {
        const std::vector<std::uint8_t> token(tokenSize, 7);
        for (const std::string_view path : { "", "stock", "orders" }) {
            for (const message_code code : { message_code::get, message_code::post }) {
                coap::message_builder builder(message_type::confirmable, code, 1, token);
                builder.option(coap::option_number::uriPath, path);
                const std::size_t reply = fixture.route(builder.bytes()).reply.size();
                CHECK_TRUE(reply > 0);
                CHECK_TRUE(reply + 28 <= 3 * (builder.bytes().size() + 28));
            }
        }
    }
}

TEST(entry_router, RandomlyModifiedPacketsStayWithinServiceAndSizeLimit)
{
    seeded_random random(7);
    for (int i = 0; i < 20'000; ++i) {
        const auto owner = static_cast<std::uint16_t>(1 + random.below(4));
        const service_id service = random.below(2) == 0 ? orders : catalog;
        coap::byte_vector packet = orderRequest(fixture.tokenFor(owner, service));
        for (std::uint64_t change = random.below(4); change > 0; --change)
            packet[random.below(packet.size())] = static_cast<std::uint8_t>(random.next());
        packet.resize(packet.size() - random.below(2) * random.below(packet.size()));
        const route_decision decision = fixture.route(packet);
        CHECK_FALSE(isForwardTo(decision, 4)); // serves catalog
        CHECK_TRUE(decision.reply.size() + 28 <= 3 * (packet.size() + 28));
    }
}

TEST(entry_router, SilentAgentGetsNoNewFlowsWhileOthersReport)
{
    fixture.passTime(1s, { 1, 2, 3 });
    fixture.route(stockRequest(fixture.tokenFor(1)));
    fixture.passTime(2s, { 2, 3 });
    CHECK_TRUE((fixture.ownersOfNewFlows() == owner_set { 2, 3 }));
}

TEST(entry_router, AgentThatReportsAgainIsNoLongerSuspect)
{
    fixture.passTime(1s, { 1, 2, 3 });
    fixture.route(stockRequest(fixture.tokenFor(1)));
    fixture.passTime(2s, { 2, 3 });
    fixture.report(1);
    CHECK_TRUE((fixture.ownersOfNewFlows() == owner_set { 1, 2, 3 }));
}

TEST(entry_router, RouterWithoutAnyReportsSuspectsNoAgent)
{
    fixture.passTime(1s, { 1, 2, 3 });
    fixture.route(stockRequest(fixture.tokenFor(1)));
    fixture.now += 60s;
    CHECK_TRUE((fixture.ownersOfNewFlows() == owner_set { 1, 2, 3 }));
    // The first report after the isolation does not make the other agents suspect.
    fixture.report(2);
    CHECK_TRUE((fixture.ownersOfNewFlows() == owner_set { 1, 2, 3 }));
}

TEST(entry_router, SuspectOwnerKeepsOrdersButNotIdempotentRequests)
{
    fixture.passTime(1s, { 1, 2, 3 });
    fixture.route(stockRequest(fixture.tokenFor(1)));
    fixture.passTime(500ms, { 2, 3 });
    const std::vector<endpoint> probed = fixture.router.probesDue(fixture.now);
    CHECK_TRUE(std::ranges::find(probed, agentOf(1)) != probed.end());
    fixture.passTime(1500ms, { 2, 3 });
    const flow_token_bytes token = fixture.boundTokenFor(1);
    CHECK_TRUE(isChallenge(fixture.route(stockRequest(token))));
    CHECK_TRUE(isForwardTo(fixture.route(orderRequest(token)), 1));
}

// Guards against an order that waits for a silent owner, or is answered "unknown", although no
// agent runs an order under an unbound token.
TEST(entry_router, OrderUnderAnUnboundTokenLeavesASuspectOwner)
{
    fixture.passTime(1s, { 1, 2, 3 });
    const flow_token_bytes token = fixture.tokenFor(1);
    CHECK_TRUE(isForwardTo(fixture.route(orderRequest(token)), 1));
    fixture.passTime(2s, { 2, 3 });
    const route_decision silent = fixture.route(orderRequest(token));
    CHECK_TRUE(isChallenge(silent));
    CHECK_TRUE(fixture.challengedToken(silent).upstream != upstream_id { 1 });
    fixture.router.observeUnreachable(agentOf(2), fixture.now);
    CHECK_TRUE(isChallenge(fixture.route(orderRequest(fixture.tokenFor(2)))));
}

// Guards against an order that the only usable upstream redirects because of load and the router
// sends back, until the caller follows no further challenge.
TEST(entry_router, ReplacedUnboundTokenKeepsItsHopCount)
{
    fixture.passTime(1s, { 1, 2, 3 });
    flow_token token { orders, upstream_id { 1 }, agentOf(1), {}, unixSeconds(fixture.now), 77 };
    token.hops = 1;
    const flow_token_bytes echo = flow_token_codec(makeContent()).seal(token, caller.address);
    fixture.route(orderRequest(echo));
    fixture.passTime(2s, { 2, 3 });
    CHECK_EQUAL(1, fixture.challengedToken(fixture.route(orderRequest(echo))).hops);
    CHECK_EQUAL(0, fixture.challengedToken(fixture.route(orderRequest())).hops);
}

TEST(entry_router, OrdersForUnreachableOwnerAreAnsweredWithUnknown)
{
    fixture.router.observeUnreachable(agentOf(1), fixture.now);
    const flow_token_bytes token = fixture.boundTokenFor(1);
    CHECK_TRUE(isChallenge(fixture.route(stockRequest(token))));
    CHECK_TRUE(isReply(fixture.route(orderRequest(token)), result_code::ownerUnreachable,
                       message_code::gatewayTimeout));
    fixture.now += 6s;
    CHECK_TRUE(isForwardTo(fixture.route(orderRequest(token)), 1));
}

TEST(entry_router, TokenOfTheOnlyUpstreamIsForwardedEvenWhenSuspect)
{
    // Guards against an endless loop: every new challenge would select the same owner.
    fixture.passTime(1s, { 1, 4 });
    const coap::byte_vector packet =
            request(message_code::get, "guides", fixture.tokenFor(4, catalog));
    fixture.route(packet, catalog);
    fixture.passTime(3s, { 1 });
    CHECK_TRUE(isForwardTo(fixture.route(packet, catalog), 4));
}

TEST(entry_router, DrainingAndLeavingUpstreamsGetNoNewFlow)
{
    fixture.report(1, 1, agent_state::draining);
    configuration_content content = makeContent(2);
    content.upstreams[1].state = upstream_state::leaving;
    CHECK_TRUE(fixture.configure(content));
    CHECK_TRUE((fixture.ownersOfNewFlows() == owner_set { 3 }));
    CHECK_TRUE(isForwardTo(fixture.route(orderRequest(fixture.tokenFor(2))), 2));
}

TEST(entry_router, NoUpstreamIsReportedWithMaxAge)
{
    configuration_content content = makeContent(2);
    for (upstream &item : content.upstreams)
        item.state = upstream_state::leaving;
    fixture.configure(content);
    const route_decision decision = fixture.route(stockRequest());
    CHECK_TRUE(isReply(decision, result_code::noUpstream, message_code::serviceUnavailable));
    CHECK_TRUE(coap::message_view::parse(decision.reply)->uintOption(coap::option_number::maxAge)
               == 1u);
}

TEST(entry_router, TokenOfNewerConfigurationIsForwardedToItsAgentAddress)
{
    CHECK_TRUE(isForwardTo(fixture.route(orderRequest(fixture.tokenFor(9))), 9));
    CHECK_TRUE(isForwardTo(fixture.route(stockRequest(fixture.tokenFor(9))), 9));
}

TEST(entry_router, RemovedOwnerKeepsOrdersButNotIdempotentRequests)
{
    configuration_content content = makeContent(2);
    content.upstreams.erase(content.upstreams.begin());
    fixture.configure(content);
    const flow_token_bytes token = fixture.boundTokenFor(1);
    CHECK_TRUE(isChallenge(fixture.route(stockRequest(token))));
    CHECK_TRUE(isForwardTo(fixture.route(orderRequest(token)), 1));
    fixture.passTime(4s, { 2, 3 });
    CHECK_TRUE(isReply(fixture.route(orderRequest(token)), result_code::ownerUnreachable,
                       message_code::gatewayTimeout));
}

TEST(entry_router, OnlyAHigherGenerationTakesEffect)
{
    CHECK_TRUE(fixture.configure(makeContent(5)));
    CHECK_FALSE(fixture.configure(makeContent(5)));
    CHECK_FALSE(fixture.configure(makeContent(4)));
    CHECK_TRUE(fixture.router.generation() == 5);
}

TEST(entry_router, ConfigurationChangeKeepsReportedState)
{
    fixture.report(1, 1, agent_state::draining);
    fixture.configure(makeContent(2));
    CHECK_TRUE((fixture.ownersOfNewFlows() == owner_set { 2, 3 }));
}

TEST(entry_router, NewIncarnationWarmsUp)
{
    const auto shareOfFirst = [&] {
        int count = 0;
        for (int i = 0; i < 600; ++i) {
            const flow_token token = fixture.challengedToken(fixture.route(stockRequest()));
            count += token.upstream == upstream_id { 1 } ? 1 : 0;
        }
        return count;
    };
    fixture.passTime(1s, { 1, 2, 3 });
    CHECK_TRUE(shareOfFirst() > 150);
    fixture.report(1, 0x10001);
    CHECK_TRUE(shareOfFirst() < 60);
    fixture.now += 10s;
    CHECK_TRUE(shareOfFirst() > 150);
}

TEST(entry_router, AddedUpstreamWarmsUp)
{
    configuration_content content = makeContent(2);
    content.upstreams.push_back(makeUpstream(5, orders));
    fixture.configure(content);
    int flowsOfAdded = 0;
    for (int i = 0; i < 400; ++i) {
        const flow_token token = fixture.challengedToken(fixture.route(stockRequest()));
        flowsOfAdded += token.upstream == upstream_id { 5 } ? 1 : 0;
    }
    CHECK_TRUE(flowsOfAdded < 20);
}

TEST(entry_router, UpstreamWithoutFreeConnectionGetsNoNewFeed)
{
    agent_report full;
    full.upstream = upstream_id { 2 };
    full.connections = 2000;
    fixture.router.observe(agentOf(2), full, fixture.now);
    CHECK_TRUE((fixture.ownersOfNewFlows() == owner_set { 1, 3 }));
}

TEST(entry_router, NewFlowsBeyondTheChallengeLimitAreDropped)
{
    router_fixture limited({ .zone = "a", .challengesPerSecond = 10.0, .challengeBurst = 5.0 });
    int challenges = 0;
    for (int i = 0; i < 100; ++i)
        challenges += isChallenge(limited.route(stockRequest())) ? 1 : 0;
    CHECK_EQUAL(5, challenges);
    CHECK_TRUE(isDrop(limited.route(stockRequest()), result_code::rateLimited));
    CHECK_TRUE(isForwardTo(limited.route(stockRequest(limited.tokenFor(1))), 1));
    limited.now += 1s;
    CHECK_TRUE(isChallenge(limited.route(stockRequest())));
}

TEST(entry_router, ProbesAreRateLimitedAndReachEveryAgent)
{
    router_fixture limited({ .zone = "a", .probesPerSecond = 2.0 });
    std::set<std::uint16_t> probed;
    std::size_t count = 0;
    for (int i = 0; i < 50; ++i, limited.now += 100ms) {
        for (const endpoint &agent : limited.router.probesDue(limited.now)) {
            probed.insert(static_cast<std::uint16_t>(agent.port - 20000));
            ++count;
        }
    }
    CHECK_TRUE((probed == owner_set { 1, 2, 3, 4 }));
    CHECK_TRUE(count <= 12);
}

TEST(entry_router, AgentWithUnansweredPacketsIsProbedBeforeItIsSuspect)
{
    fixture.passTime(1s, { 1, 2, 3, 4 });
    fixture.route(orderRequest(fixture.tokenFor(3)));
    fixture.passTime(500ms, { 1, 2, 4 });
    CHECK_TRUE((fixture.router.probesDue(fixture.now) == std::vector { agentOf(3) }));
}

// Guards against downloads and feeds that leave a sound owner, because the router took its silence
// for an answer although the probe limit had kept it from asking.
TEST(entry_router, OwnerThatWasNotProbedKeepsItsFlows)
{
    constexpr std::uint16_t silent = 10;
    constexpr std::uint16_t last = 69;
    configuration_content content = makeContent(2);
    for (std::uint16_t id = silent; id <= last; ++id)
        content.upstreams.push_back(makeUpstream(id, orders));
    fixture.configure(content);
    for (std::uint16_t id = silent; id <= last; ++id) {
        fixture.report(id);
        fixture.route(stockRequest(fixture.tokenFor(id))); // lost on its way
    }
    // All agents but one answer every probe.
    const auto exchangeProbes = [&](duration time) {
        for (const time_point end = fixture.now + time; fixture.now < end; fixture.now += 100ms) {
            fixture.passTime(100ms, { 1, 2, 3, 4 });
            fixture.now -= 100ms;
            for (const endpoint &agent : fixture.router.probesDue(fixture.now)) {
                if (agent != agentOf(silent))
                    fixture.report(static_cast<std::uint16_t>(agent.port - 20000));
            }
        }
    };
    exchangeProbes(2s);
    for (std::uint16_t id = silent + 1; id <= last; ++id)
        CHECK_TRUE(isForwardTo(fixture.route(stockRequest(fixture.tokenFor(id))), id));
    exchangeProbes(20s);
    CHECK_TRUE(isChallenge(fixture.route(stockRequest(fixture.tokenFor(silent)))));
}
