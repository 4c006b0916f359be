#pragma once

#include "flow_fakes.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>

// Simulates entry instances, agents, upstreams, clients, a router and a store in virtual time. All
// random values derive from one seed, so a run can be repeated exactly.

namespace oriolehold::flow {

class flow_simulation
{
public:
    // Duration of reads of the store: a few milliseconds, or up to 1.5 s in every second phase of
    // 3 s.
    enum class store_speed { quick, slowAtTimes };

    explicit flow_simulation(std::uint64_t seed, store_speed storeSpeed = store_speed::quick);
    ~flow_simulation();
    flow_simulation(const flow_simulation &) = delete;
    flow_simulation &operator=(const flow_simulation &) = delete;

    // Simulates the given time with random faults. Returns a description of the first violated
    // guarantee, or an empty string.
    std::string run(std::chrono::seconds length);

    // Number of events in a run, to check that it has traffic and faults.
    struct statistics
    {
        int flowsOpened = 0;
        int answers = 0;
        int resets = 0;
        int faults = 0;
        int rehashes = 0; // changes of the entry instances that the router sends packets to
        // Resets by the list that a search began with, by the instances that run at the end.
        std::uint64_t waitsAvoided = 0;
    };
    const statistics &counts() const { return m_counts; }

private:
    struct upstream;
    struct entry;
    struct client_flow;
    class simulated_entry_output;
    class simulated_agent_output;

    void schedule(base::duration delay, std::function<void()> action);
    base::duration networkDelay();
    // A random duration in the range; both limits are included, in microseconds.
    base::duration randomDuration(std::int64_t minimum, std::int64_t maximum);
    bool chance(unsigned percent) { return m_random.below(100) < percent; }
    void reportViolation(std::string text);

    void startEntry(std::size_t index);
    // Starts the process again at once, without what it knew.
    void killEntry(std::size_t index);
    void killAgent(upstream &item);
    void startAgent(upstream &item);
    void startUpstream(upstream &item);
    void tickEntry(std::size_t index);
    void tickAgent(upstream &item);
    void publish();
    upstream_list currentList() const;

    void toUpstream(upstream &item, packet_head head);
    void toClient(const packet_head &head, bool fromUpstream, std::uint32_t machine);
    // The entry instance that gets the packets from a client port.
    std::size_t entryOf(std::uint16_t port) const;
    void route(const packet_head &head);
    void openFlow();
    void sendOpening(std::uint16_t port, std::uint32_t copy);
    void sendData(std::uint16_t port);
    void injectFault();
    void noteDisturbance();
    void check();

    base::duration readTime();

    base::seeded_random m_random;
    // A separate source, so that a seed yields the same faults at either speed.
    base::seeded_random m_storeRandom;
    const store_speed m_storeSpeed;
    const std::chrono::milliseconds m_firstUseDelay; // of the entry instances
    base::time_point m_now = atMilliseconds(0);
    std::uint64_t m_order = 0;
    struct event
    {
        base::time_point time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;

    fake_codec m_codec;
    fake_document_codec m_documents;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<std::unique_ptr<upstream>> m_upstreams;
    std::map<std::uint16_t, client_flow> m_flows; // by client port
    std::uint16_t m_nextPort = 1000;
    std::uint64_t m_nextId = 1;
    flow_configuration m_configuration;
    std::uint64_t m_revision = 1;
    bool m_storeUp = true;
    base::time_point m_storeChangedAt = m_now;
    base::time_point m_lastDisturbance = m_now;
    std::string m_violation;
    statistics m_counts;
};

} // namespace oriolehold::flow
