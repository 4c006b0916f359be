#include "oriolehold/core/agent_core.h"

#include "oriolehold/core/invariant.h"

#include "agent_fakes.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;
using oriolehold::coap::asBytes;
using oriolehold::coap::message_code;
using oriolehold::coap::message_type;

namespace {

int violations = 0;

void countViolation(std::string_view text, const char *file, int line)
{
    std::printf("%s:%d: %.*s\n", file, line, static_cast<int>(text.size()), text.data());
    ++violations;
}

// Echo, payload, runs and answers of one ticket.
struct ticket_history
{
    byte_vector echo;
    std::string payload;
    int runs = 0;
    bool shed = false;
    std::map<message_code, int> answers;
};

// Random events at one agent: copies, reordering, pauses, corrupted packets, any upstream answer.
class random_run
{
public:
    explicit random_run(std::uint64_t seed) : m_random(seed) { }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            step();
            collect();
        }
    }
    bool isConsistent() const
    {
        return std::ranges::all_of(m_tickets, [](const auto &item) {
            const ticket_history &history = item.second;
            const auto count = [&history](message_code code) {
                const auto found = history.answers.find(code);
                return found == history.answers.end() ? 0 : found->second;
            };
            const bool notRun = count(message_code::serviceUnavailable) > 0;
            const bool done = count(message_code::content) > 0;
            const bool redirected = count(message_code::unauthorized) > 0;
            return history.runs <= 1 && !(notRun && done)
                    && !(redirected && (notRun || done || history.runs > 0))
                    && (!notRun || history.runs == 0 || history.shed);
        });
    }
    std::size_t redirected() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_tickets, [](const auto &item) {
            return item.second.answers.contains(message_code::unauthorized);
        }));
    }
    bool respectsSlots() const { return m_respectsSlots; }
    std::size_t answered() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
                m_tickets, [](const auto &item) { return !item.second.answers.empty(); }));
    }

private:
    void step()
    {
        switch (m_random.below(10)) {
        case 0:
        case 1:
            sendOrder(++m_lastTicket);
            break;
        case 2:
        case 3:
            sendOrder(1 + m_random.below(std::max<std::uint64_t>(m_lastTicket, 1)));
            break;
        case 4:
            sendGet();
            break;
        case 5:
        case 6:
            completeJob();
            break;
        case 7:
            m_agent.runFor(std::chrono::milliseconds { m_random.below(200) });
            break;
        case 8:
            sendCorruptPacket();
            break;
        default:
            m_agent.receiveEmpty(m_random.below(2) == 0 ? message_type::reset
                                                        : message_type::acknowledgement,
                                 static_cast<std::uint16_t>(m_random.below(600)));
            if (m_random.below(20) == 0)
                m_agent.pauseFor(std::chrono::seconds { m_random.below(40) });
        }
    }
    void sendOrder(ticket_number number)
    {
        const auto [found, inserted] = m_tickets.try_emplace(number);
        ticket_history &history = found->second;
        if (inserted) {
            history.echo = m_agent.token(number);
            history.payload = std::to_string(number);
        }
        packet request = order(history.echo, messageId(), history.payload);
        request.token = { static_cast<std::uint8_t>(number >> 8),
                          static_cast<std::uint8_t>(number) };
        if (m_random.below(4) == 0)
            request.query = "deadline=" + std::to_string(1 + m_random.below(500));
        m_agent.receive(request, m_random.below(2) == 0 ? entryA : entryB);
    }
    void sendGet()
    {
        packet request = get(m_random.below(2) == 0 ? "reports" : "stock",
                             m_agent.token(m_random.next() & 0xffff), messageId());
        request.token = { 1, 2, static_cast<std::uint8_t>(m_random.below(4)) };
        if (m_random.below(2) == 0)
            request.observe = static_cast<std::uint32_t>(m_random.below(2));
        if (m_random.below(2) == 0)
            request.block2 = { static_cast<std::uint32_t>(m_random.below(4)), false, 4 };
        m_agent.receive(request);
        for (const auto &[feed, state] : m_agent.actions.startedFeeds)
            m_agent.core->updateFeed(feed, asBytes("state"), m_agent.now);
    }
    void sendCorruptPacket()
    {
        byte_vector bytes = order(m_agent.token(++m_lastCorruptTicket), messageId()).bytes();
        bytes[m_random.below(bytes.size())] = static_cast<std::uint8_t>(m_random.next());
        bytes.resize(1 + m_random.below(bytes.size()));
        m_agent.core->receive(entryA, callerEndpoint, ordersService, bytes, m_agent.now);
    }
    void completeJob()
    {
        const auto &jobs = m_agent.actions.jobs;
        if (jobs.empty())
            return;
        // Mostly the newest job, sometimes an older one that may have ended.
        const std::size_t index =
                m_random.below(4) == 0 ? m_random.below(jobs.size()) : jobs.size() - 1;
        const auto status = static_cast<upstream_status>(m_random.below(4));
        if (status == upstream_status::shed && jobs[index].ticket != 0)
            m_tickets[jobs[index].ticket].shed = true;
        m_agent.complete(index, std::string(m_random.below(3000), 'x'), status);
    }
    // Few message IDs, so that different requests collide.
    std::uint16_t messageId() { return static_cast<std::uint16_t>(m_random.below(512)); }

    void collect()
    {
        recording_actions &actions = m_agent.actions;
        for (; m_seenJobs < actions.jobs.size(); ++m_seenJobs) {
            const upstream_request &job = actions.jobs[m_seenJobs];
            if (job.ticket != 0)
                ++m_tickets[job.ticket].runs;
        }
        for (const delivery &item : actions.deliveries) {
            const auto message = item.view();
            if (message.isEmpty() || message.token().size() != 2)
                continue;
            const ticket_number number =
                    static_cast<ticket_number>(message.token()[0] << 8 | message.token()[1]);
            ++m_tickets[number].answers[message.code()];
        }
        actions.deliveries.clear();
        const agent_report report = m_agent.core->report(m_agent.now);
        m_respectsSlots = m_respectsSlots && report.running <= report.slots;
    }

    seeded_random m_random;
    agent_under_test m_agent;
    std::map<ticket_number, ticket_history> m_tickets;
    ticket_number m_lastTicket = 0;
    ticket_number m_lastCorruptTicket = 1'000'000; // distinct from the tickets of orders
    std::size_t m_seenJobs = 0;
    bool m_respectsSlots = true;
};

} // namespace

TEST_GROUP(agent_core_random) {};

// Guards against an order that runs twice, or that runs although its caller received "not run".
TEST(agent_core_random, OrdersRunAtMostOnceAndRefusalsAreFinal)
{
    violations = 0;
    const invariant_handler previous = setInvariantHandler(countViolation);
    std::size_t answered = 0;
    std::size_t redirected = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_run run(seed);
        run.run(1000);
        CHECK_TRUE_TEXT(run.isConsistent(), std::to_string(seed).c_str());
        CHECK_TRUE(run.respectsSlots());
        answered += run.answered();
        redirected += run.redirected();
    }
    setInvariantHandler(previous);
    CHECK_EQUAL(0, violations);
    CHECK_TRUE(answered > 1000); // the runs are not trivial
    CHECK_TRUE(redirected > 10);
}
