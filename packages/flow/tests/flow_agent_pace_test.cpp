#include "flow_agent_fixture.h"

using namespace oriolehold;
using namespace oriolehold::flow;

// The agent's use of the limit for an upstream that has started or recovered.

namespace {

struct paced_agent_fixture : public flow_agent_fixture
{
    paced_agent_fixture() : flow_agent_fixture({ 3, "orders", std::nullopt, { .pace = true } }) { }

    void begin(std::chrono::milliseconds warmUpLeft)
    {
        sendHello(1, 4);
        notify({ 1000, warmUpLeft, 0, {}, false }, 0);
        tick(0);
    }
    // Opens six flows and sends their requests.
    void sendRequests()
    {
        for (std::uint16_t port = 1; port <= 6; ++port) {
            receive(opening(port), 1);
            accept(1, 0, port);
            tick(1);
            receive(fromClient(instruction::deliver, 200, 100, port), 1);
        }
    }
};

} // namespace

TEST_GROUP_BASE(flow_agent_pace, paced_agent_fixture) {};

// Guards against a burst at an upstream that has just started, and against entry instances that do
// not learn of the limit.
TEST(flow_agent_pace, NewUpstreamGetsFewRequestsUntilItAnswers)
{
    begin(2000ms);
    sendRequests();
    CHECK_EQUAL(2, agent.load().running());
    CHECK_EQUAL(4, agent.counters().held);
    CHECK_EQUAL(2000, output.sent<capacity_report>().back().concurrency);
    answerRequest(1, 20);
    CHECK_EQUAL(3, agent.load().running());
    answerRequest(2, 21);

    CHECK_EQUAL(4, agent.load().running());
}

// Guards against a limit for a warm upstream whose agent alone was restarted.
TEST(flow_agent_pace, RestartOfTheAgentAloneIsNoStart)
{
    begin(0ms);
    sendRequests();

    CHECK_EQUAL(5, agent.load().running());
    CHECK_TRUE(output.sent<capacity_report>().empty());
}

// Guards against full load on an upstream that resumes after a freeze: it has answered no opening
// packets for a while.
TEST(flow_agent_pace, UnansweredOpeningPacketsStartTheLimit)
{
    begin(0ms);
    for (std::uint16_t port = 1; port <= 2; ++port)
        receive(opening(port), 1);
    for (std::int64_t at = 10; at <= 80; at += 10)
        tick(at);

    CHECK_EQUAL(2, agent.pace().limit);
}
