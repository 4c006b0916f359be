#include "internal/handover_sender.h"

#include "agent_fakes.h"

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace oriolehold::core;
using namespace oriolehold::core::testing;
using oriolehold::coap::asBytes;
using oriolehold::coap::message_type;

namespace {

constexpr std::uint8_t feedCount = 5;

// Feeds that move between three agents over a network that loses, duplicates and reorders messages,
// while agents pause. Two of the agents drain.
class random_handovers
{
public:
    explicit random_handovers(std::uint64_t seed) : m_random(seed)
    {
        for (std::uint8_t token = 1; token <= feedCount; ++token) {
            packet registration = get("stock", m_agents[0].token(token), token);
            registration.observe = 0;
            registration.token = { token };
            m_agents[0].receive(registration);
        }
        updateAll();
    }

    void run()
    {
        for (int i = 0; i < 300; ++i) {
            if (i == 20)
                m_agents[0].core->drain(m_agents[0].now);
            if (i == 50)
                m_agents[1].core->drain(m_agents[1].now);
            step(false);
        }
        // Longer than the 10 s for which an agent reserves a connection for a late offer.
        for (int i = 0; i < 300; ++i)
            step(true);
    }
    bool onlyOwnersNotify() const { return m_onlyOwnersNotify; }
    std::size_t maxOwners() const { return m_maxOwners; }
    bool everyFeedHasAnOwner() const
    {
        for (std::uint8_t token = 1; token <= feedCount; ++token) {
            if (ownersOf(token) != 1)
                return false;
        }
        return true;
    }
    std::size_t feedsOf(std::size_t agent) const
    {
        return m_agents[agent].core->report(m_agents[agent].now).connections;
    }

private:
    struct in_flight
    {
        std::size_t from;
        std::size_t to;
        handover_message message;
    };

    void step(bool reliable)
    {
        m_time += 50ms;
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            if (!reliable && m_random.below(40) == 0)
                m_pausedUntil[i] = m_time + std::chrono::milliseconds { m_random.below(4000) };
            if (!isPaused(i))
                m_agents[i].runFor(startTime + m_time - m_agents[i].now);
        }
        collect();
        for (std::size_t count = m_network.size(); count > 0 && !m_network.empty(); --count)
            transmitOne(reliable);
        updateAll();
        checkOwners();
    }
    void transmitOne(bool reliable)
    {
        const std::size_t index = m_random.below(m_network.size());
        const in_flight item = m_network[index];
        if (isPaused(item.to))
            return; // stays in the socket buffer
        const std::uint64_t outcome = reliable ? 1 : m_random.below(4);
        if (outcome != 3) // otherwise a duplicate arrives later
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
        if (outcome == 0)
            return;
        m_agents[item.to].core->receiveHandover(m_addresses[item.from], item.message,
                                                m_agents[item.to].now);
        collect();
        checkOwners();
    }
    void collect()
    {
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            recording_actions &actions = m_agents[i].actions;
            for (const auto &[to, message] : std::exchange(actions.handovers, {})) {
                const auto target = std::ranges::find(m_addresses, to) - m_addresses.begin();
                m_network.push_back({ i, static_cast<std::size_t>(target), message });
            }
            for (const delivery &item : std::exchange(actions.deliveries, {})) {
                m_onlyOwnersNotify = m_onlyOwnersNotify && owns(i, item.view().token()[0]);
                if (item.view().type() == message_type::confirmable)
                    m_agents[i].receiveEmpty(message_type::acknowledgement,
                                             item.view().messageId());
            }
        }
    }
    void updateAll()
    {
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            for (const auto &[feed, state] : m_agents[i].actions.startedFeeds) {
                if (!isPaused(i))
                    m_agents[i].core->updateFeed(feed, asBytes("state"), m_agents[i].now);
            }
        }
    }
    bool isPaused(std::size_t agent) const { return m_pausedUntil[agent] > m_time; }
    bool owns(std::size_t index, std::uint8_t token) const
    {
        const recording_actions &actions = m_agents[index].actions;
        return std::ranges::any_of(actions.startedFeeds, [&](const auto &item) {
            return item.second.token[0] == token
                    && std::ranges::find(actions.stoppedFeeds, item.first)
                    == actions.stoppedFeeds.end();
        });
    }
    std::size_t ownersOf(std::uint8_t token) const
    {
        return (owns(0, token) ? 1 : 0) + (owns(1, token) ? 1 : 0) + (owns(2, token) ? 1 : 0);
    }
    void checkOwners()
    {
        for (std::uint8_t token = 1; token <= feedCount; ++token)
            m_maxOwners = std::max(m_maxOwners, ownersOf(token));
    }

    seeded_random m_random;
    std::array<endpoint, 3> m_addresses { agentOne, agentTwo, agentThree };
    std::array<agent_under_test, 3> m_agents { agent_under_test { upstreamOne },
                                               agent_under_test { upstreamTwo },
                                               agent_under_test { upstreamThree } };
    std::array<duration, 3> m_pausedUntil {};
    std::vector<in_flight> m_network;
    duration m_time {};
    std::size_t m_maxOwners = 0;
    bool m_onlyOwnersNotify = true;
};

} // namespace

TEST_GROUP(handover_random) {};

// Guards against two owners that notify one feed, and against a feed that a handover loses.
TEST(handover_random, FeedHasOneOwnerDespiteLossDuplicationReorderingAndPauses)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        random_handovers run(seed);
        run.run();
        CHECK_EQUAL_TEXT(1, run.maxOwners(), std::to_string(seed).c_str());
        CHECK_TRUE_TEXT(run.onlyOwnersNotify(), std::to_string(seed).c_str());
        CHECK_TRUE_TEXT(run.everyFeedHasAnOwner(), std::to_string(seed).c_str());
        CHECK_EQUAL(feedCount, run.feedsOf(2));
    }
}
