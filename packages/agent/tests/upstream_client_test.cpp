#include "oriolehold/agent/upstream_client.h"

#include "clock_override.h"
#include "oriolehold/coap/message.h"
#include "upstream_server.h"

#include <functional>
#include <map>
#include <thread>
#include <vector>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::agent;
using namespace oriolehold::agent::testing;
using namespace std::chrono_literals;

namespace {

struct event_recorder final : upstream_events
{
    void jobCompleted(core::job_id job, const core::upstream_answer &answer) override
    {
        answers[core::toInteger(job)].push_back(answer);
    }
    void feedUpdated(core::feed_id /*feed*/, core::byte_view payload) override
    {
        updates.emplace_back(coap::asText(payload));
    }
    void feedEnded(core::feed_id /*feed*/) override { ++ended; }

    std::map<std::uint64_t, std::vector<core::upstream_answer>> answers;
    std::vector<std::string> updates;
    int ended = 0;
};

core::upstream_request makeRequest(core::request_method method, std::string path)
{
    core::upstream_request request;
    request.job = core::job_id { 7 };
    request.method = method;
    request.path = std::move(path);
    request.idempotent = method == core::request_method::get;
    return request;
}

core::feed_state stockFeed()
{
    core::feed_state state;
    state.path = "stock";
    return state;
}

} // namespace

TEST_GROUP(upstream_client)
{
    // Runs client and server until the condition holds or the time has passed. Returns whether the
    // condition holds.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds time = 2s)
    {
        for (auto passed = 0ms; passed < time && !condition(); passed += 1ms) {
            client.process();
            server.process();
            std::this_thread::sleep_for(1ms);
        }
        return condition();
    }

    void runFor(std::chrono::milliseconds time)
    {
        runUntil([] { return false; }, time);
    }

    const core::endpoint address = freeAddress();
    event_recorder events;
    upstream_server server { address };
    upstream_client client { address, events };
};

// libcoap 4.3.1 cannot reassemble a block-wise answer that follows the empty acknowledgement of a
// confirmable request: with a confirmable request, the job would get only a part of the body.
TEST(upstream_client, LateBlockWiseAnswerIsDeliveredCompletely)
{
    client.startJob(makeRequest(core::request_method::get, "guides"), 1s);
    CHECK_TRUE(runUntil([&] { return server.guideRequested(); }));
    // Lets the server's empty acknowledgement, if there is one, precede the answer.
    runFor(20ms);
    server.answerGuide();

    CHECK_TRUE(runUntil([&] { return !events.answers[7].empty(); }));
    const core::upstream_answer &answer = events.answers[7].front();
    CHECK_TRUE(answer.status == core::upstream_status::answered);
    CHECK_EQUAL(upstream_server::bodySize, answer.payload.size());
    CHECK_TRUE(coap::asText(answer.payload) == server.body());
    LONGS_EQUAL(1, events.answers[7].size());
}

// A job that the upstream refused to run must not be reported as answered.
TEST(upstream_client, ServiceUnavailableIsShed)
{
    client.startJob(makeRequest(core::request_method::post, "orders"), 1s);

    CHECK_TRUE(runUntil([&] { return !events.answers[7].empty(); }));
    CHECK_TRUE(events.answers[7].front().status == core::upstream_status::shed);
}

// An observation that stays registered would load the upstream and send updates to the core for a
// feed that it has stopped.
TEST(upstream_client, FeedUpdatesArriveUntilTheFeedIsStopped)
{
    client.startFeed(core::feed_id { 3 }, stockFeed());
    CHECK_TRUE(runUntil([&] { return events.updates.size() == 1; }));
    server.publish("state 1");
    CHECK_TRUE(runUntil([&] { return events.updates.size() == 2; }));
    CHECK_TRUE(events.updates.back() == "state 1");

    const int before = server.feedRequests();
    client.stopFeed(core::feed_id { 3 });
    CHECK_TRUE(runUntil([&] { return server.feedRequests() > before; }));
    const int afterCancellation = server.feedRequests();
    server.publish("state 2");
    runFor(50ms);

    LONGS_EQUAL(afterCancellation, server.feedRequests());
    LONGS_EQUAL(2, events.updates.size());
    LONGS_EQUAL(0, events.ended);
}

// libcoap's server keeps one observer per session and request: with one observation per feed, only
// the last feed of a resource would get updates.
TEST(upstream_client, AllFeedsOfOneResourceGetEachUpdate)
{
    client.startFeed(core::feed_id { 3 }, stockFeed());
    CHECK_TRUE(runUntil([&] { return events.updates.size() == 1; }));
    client.startFeed(core::feed_id { 4 }, stockFeed());
    CHECK_TRUE(runUntil([&] { return events.updates.size() == 2; }));

    server.publish("state 1");

    CHECK_TRUE(runUntil([&] { return events.updates.size() == 4; }));
    CHECK_TRUE(events.updates[2] == "state 1");
    CHECK_TRUE(events.updates[3] == "state 1");
}

TEST_GROUP(unresponsive_upstream)
{
    // Runs the client for the time and returns the datagrams that the upstream received.
    std::vector<core::byte_vector> receiveFor(std::chrono::milliseconds time)
    {
        std::vector<core::byte_vector> received;
        for (auto passed = 0ms; passed < time; passed += 1ms) {
            client.process();
            for (const net::datagram &packet : upstream.receive())
                received.emplace_back(packet.bytes.begin(), packet.bytes.end());
            std::this_thread::sleep_for(1ms);
        }
        return received;
    }

    net::udp_socket upstream { { loopback, 0 } };
    event_recorder events;
    upstream_client client { upstream.local(), events };
};

// A retransmission to a paused upstream would run the order twice.
TEST(unresponsive_upstream, OrderIsSentExactlyOnce)
{
    client.startJob(makeRequest(core::request_method::post, "orders"), 10s);
    std::vector<core::byte_vector> packets = receiveFor(50ms);
    for (int second = 0; second < 5; ++second) {
        advanceClock(1s);
        for (core::byte_vector &packet : receiveFor(20ms))
            packets.push_back(std::move(packet));
    }

    LONGS_EQUAL(1, packets.size());
    const auto message = coap::message_view::parse(packets.front());
    CHECK_TRUE(message && message->type() == coap::message_type::nonConfirmable);
}

// Verifies that the advanced clock makes libcoap retransmit, which OrderIsSentExactlyOnce relies
// on. The registration of a feed is confirmable.
TEST(unresponsive_upstream, FeedRegistrationIsRetransmitted)
{
    client.startFeed(core::feed_id { 3 }, stockFeed());
    std::size_t packets = receiveFor(50ms).size();
    for (int second = 0; second < 5; ++second) {
        advanceClock(1s);
        packets += receiveFor(20ms).size();
    }

    CHECK_TRUE(packets >= 2);
}
