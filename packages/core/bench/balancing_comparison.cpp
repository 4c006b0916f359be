#include "oriolehold/coap/message.h"
#include "oriolehold/core/balancing_policy_factory.h"
#include "oriolehold/core/entry_router.h"
#include "oriolehold/core/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>

// Compares balancing policies in virtual time: several entry routers in front of one service whose
// upstreams differ in strength 1:4. Prints a Markdown table. Usage: balancing_comparison [SEED
// [POLICY]]

namespace {

using namespace oriolehold;
using namespace oriolehold::core;
using namespace std::chrono_literals;

constexpr service_id service { 1 };
constexpr endpoint serviceAddress { 0x7f000001, 5000 };
constexpr std::array strengths { 1.0, 4.0, 2.0, 3.0, 1.0, 4.0, 2.0 };
constexpr std::array<std::string_view, 3> zones { "a", "b", "c" };
constexpr duration meanJob = 10ms; // at strength 1
constexpr duration oneWayToClient = 1ms;
constexpr duration oneWayToAgent = 500us;
constexpr duration probeInterval = 100ms;
constexpr duration runTime = 300s;
constexpr duration settleTime = 5s;  // earlier waits and windows are ignored
constexpr duration eventTime = 100s; // of the restart, the slowdown and the zone failure
constexpr duration warmUpTime = 10s;
constexpr double initialSpeedShare = 0.2; // share of the full speed right after a start

struct scenario
{
    std::string_view name;
    double load = 0.7;
    std::size_t entriesPerZone = 2;
    bool exponentialJobs = true;
    duration reportDelay { 0 };
    bool reportsOnlyByProbe = false;
    bool restartsUpstream = false;
    bool failsZone = false;
    bool slowsUpstream = false; // to half of its configured strength
    bool variesLoad = false; // falls to 0.2 of the load and rises again every 20 s, within 2 s each
};

const std::array scenarios {
    scenario { .name = "70% load, equal jobs", .exponentialJobs = false },
    scenario { .name = "70% load, exponential jobs" },
    scenario { .name = "60 entries", .entriesPerZone = 20 },
    scenario { .name = "reports 500 ms late", .reportDelay = 500ms },
    scenario { .name = "reports by probe only", .reportsOnlyByProbe = true },
    scenario { .name = "one cold start", .restartsUpstream = true },
    scenario { .name = "one zone lost (45% load before)", .load = 0.45, .failsZone = true },
    scenario { .name = "one at half of its strength", .slowsUpstream = true },
    scenario { .name = "5x swing", .variesLoad = true },
};

using hash_choice = const upstream *(*)(std::span<const upstream *const>, flow_key);

// A balancing policy, or a baseline that chooses by hash.
struct compared_policy
{
    std::string_view name;
    hash_choice hash = nullptr;
};

std::vector<compared_policy> comparedPolicies()
{
    std::vector<compared_policy> result;
    for (const std::string_view name : balancingPolicyNames())
        result.push_back({ .name = name });
    result.push_back({ "plain_rendezvous", plainRendezvous });
    result.push_back({ "five_tuple_modulo", fiveTupleModulo });
    return result;
}

configuration_pointer makeConfiguration()
{
    configuration_content content;
    content.generation = 1;
    content.keys = { { 1, { 1, 2, 3 } } };
    content.signingKey = 1;
    const request_class jobClass { .name = "job", .path = "job" };
    content.services = { { service, "jobs", "tenant", serviceAddress, { jobClass } } };
    for (std::size_t i = 0; i < strengths.size(); ++i) {
        upstream item;
        item.id = upstream_id { static_cast<std::uint16_t>(i) };
        item.service = service;
        item.index = static_cast<std::uint8_t>(i);
        item.zone = zones[i % zones.size()];
        item.agent = { 0x7f000001, static_cast<std::uint16_t>(20000 + i) };
        item.slots = 2;
        item.strength = strengths[i];
        content.upstreams.push_back(item);
    }
    return std::make_shared<configuration>(std::move(content));
}

struct job
{
    time_point arrived;
    double size = 1.0; // relative to the mean
    std::size_t entry = 0;
};

struct simulated_upstream
{
    const upstream *config = nullptr;
    bool alive = true;
    time_point startedAt {};
    double speedFactor = 1.0; // share of the configured strength
    std::uint16_t running = 0;
    std::deque<job> queue;
    double assigned = 0.0; // jobs in the current window
    duration busy {};      // slot time in the current window

    double speed(time_point now) const
    {
        const double age = std::chrono::duration<double>(now - startedAt) / warmUpTime;
        return speedFactor * config->strength
                * std::clamp(initialSpeedShare + (1.0 - initialSpeedShare) * age, initialSpeedShare,
                             1.0);
    }
};

struct simulated_entry
{
    std::string zone;
    std::unique_ptr<balancing_policy> policy;
    std::unique_ptr<seeded_random> random;
    std::unique_ptr<entry_router> router;
};

struct result
{
    double assignedImbalance = 0.0; // p99 over windows
    double busyImbalance = 0.0;     // p99 over windows
    double meanWait = 0.0;          // milliseconds
    double p99Wait = 0.0;           // milliseconds
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0.0;
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(rank));
    return values[rank];
}

double largestOverMean(const std::vector<double> &values)
{
    double sum = 0.0;
    for (const double value : values)
        sum += value;
    const double mean = sum / static_cast<double>(values.size());
    return mean > 0.0 ? std::ranges::max(values) / mean - 1.0 : 0.0;
}

class simulation
{
public:
    simulation(const compared_policy &policy, const scenario &scenario, std::uint64_t seed)
        : m_policy(policy), m_scenario(scenario), m_random(seed),
          m_configuration(makeConfiguration())
    {
        for (const upstream *item : m_configuration->upstreamsOf(service)) {
            simulated_upstream &added = m_upstreams.emplace_back();
            added.config = item;
            added.startedAt = m_now - 3600s;
            m_capacity += item->slots * item->strength;
        }
        for (std::size_t i = 0; i < zones.size() * scenario.entriesPerZone; ++i) {
            simulated_entry &entry = m_entries.emplace_back();
            entry.zone = zones[i % zones.size()];
            entry.policy = makeBalancingPolicy(policy.hash == nullptr ? policy.name
                                                                      : defaultBalancingPolicy);
            entry.random = std::make_unique<seeded_random>(m_random.next());
            entry.router = std::make_unique<entry_router>(
                    entry_router_options { .zone = entry.zone }, *entry.policy, *entry.random);
            entry.router->configure(m_configuration, m_now);
            m_reachable.push_back(i);
        }
    }

    result run()
    {
        const time_point end = m_now + runTime;
        scheduleArrival();
        at(m_now + probeInterval, [this] { probe(); });
        at(m_now + 1s, [this] { closeWindow(); });
        if (m_scenario.restartsUpstream)
            at(m_start + eventTime, [this] { restart(m_upstreams[1]); });
        if (m_scenario.slowsUpstream)
            at(m_start + eventTime, [this] { m_upstreams[3].speedFactor = 0.5; });
        if (m_scenario.failsZone)
            at(m_start + eventTime, [this] { failZone(zones[1]); });
        while (!m_events.empty() && m_events.top().time < end) {
            event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.action();
        }
        return { percentile(m_assignedImbalance, 0.99), percentile(m_busyImbalance, 0.99),
                 m_waitSum / static_cast<double>(std::max<std::size_t>(m_waits.size(), 1)),
                 percentile(m_waits, 0.99) };
    }

private:
    struct event
    {
        time_point time;
        std::uint64_t number; // order of simultaneous events
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };

    void at(time_point time, std::function<void()> action)
    {
        m_events.push({ time, m_eventNumber++, std::move(action) });
    }

    double exponential() { return -std::log(1.0 - m_random.uniform01()); }

    double currentLoad() const
    {
        if (!m_scenario.variesLoad)
            return m_scenario.load;
        const auto phase = std::chrono::duration<double>((m_now - m_start) % duration { 20s });
        const double position = phase.count(); // low, up within 2 s, high, down within 2 s
        const double share = position < 8.0 ? 0.2
                : position < 10.0           ? 0.2 + 0.4 * (position - 8.0)
                : position < 18.0           ? 1.0
                                            : 1.0 - 0.4 * (position - 18.0);
        return m_scenario.load * share;
    }

    std::size_t anyEntry() { return m_reachable[m_random.below(m_reachable.size())]; }

    void scheduleArrival()
    {
        const double perSecond =
                currentLoad() * m_capacity / std::chrono::duration<double>(meanJob).count();
        const std::chrono::duration<double> gap { exponential() / perSecond };
        at(m_now + std::chrono::duration_cast<duration>(gap), [this] {
            startFlow();
            scheduleArrival();
        });
    }

    // Challenge by one entry, then the repeated request through any entry.
    void startFlow()
    {
        const endpoint caller { static_cast<std::uint32_t>(m_random.next()),
                                static_cast<std::uint16_t>(m_random.next()) };
        std::size_t owner = 0;
        coap::byte_vector packet;
        if (m_policy.hash != nullptr) {
            const upstream *chosen = m_policy.hash(m_configuration->upstreamsOf(service),
                                                   makeFlowKey(caller, serviceAddress));
            owner = toInteger(chosen->id);
        } else {
            const route_decision decision =
                    m_entries[anyEntry()].router->route(caller, service, requestBytes({}), m_now);
            const auto reply = coap::message_view::parse(decision.reply);
            const auto echo = reply->option(coap::option_number::echo);
            packet = requestBytes(*echo);
            owner = static_cast<std::size_t>((*echo)[4] << 8 | (*echo)[5]);
        }
        const std::size_t forwarder = anyEntry();
        at(m_now + 2 * oneWayToClient, [this, owner, forwarder, caller, packet] {
            if (!packet.empty())
                m_entries[forwarder].router->route(caller, service, packet, m_now);
            at(m_now + oneWayToAgent, [this, owner, forwarder] { arrive(owner, forwarder); });
        });
    }

    static coap::byte_vector requestBytes(byte_view echo)
    {
        coap::message_builder builder(coap::message_type::confirmable, coap::message_code::get, 1);
        builder.option(coap::option_number::uriPath, "job");
        if (!echo.empty())
            builder.option(coap::option_number::echo, echo);
        return builder.toVector();
    }

    void arrive(std::size_t owner, std::size_t entry)
    {
        simulated_upstream &target = m_upstreams[owner];
        if (!target.alive)
            return;
        target.assigned += 1.0;
        const double size = m_scenario.exponentialJobs ? exponential() : 1.0;
        target.queue.push_back({ m_now, size, entry });
        dispatch(target);
    }

    void dispatch(simulated_upstream &target)
    {
        while (!target.queue.empty() && target.running < target.config->slots) {
            const job next = target.queue.front();
            target.queue.pop_front();
            ++target.running;
            const std::chrono::duration<double> wait = m_now - next.arrived;
            if (m_now - m_start >= settleTime) {
                m_waits.push_back(wait.count() * 1e3);
                m_waitSum += wait.count() * 1e3;
            }
            const auto serviceTime =
                    std::chrono::duration_cast<duration>(meanJob * next.size / target.speed(m_now));
            const time_point startedAt = target.startedAt;
            at(m_now + serviceTime, [this, &target, next, serviceTime, startedAt] {
                if (target.startedAt == startedAt && target.alive)
                    finish(target, next, serviceTime);
            });
        }
    }

    void finish(simulated_upstream &target, const job &done, duration serviceTime)
    {
        --target.running;
        target.busy += serviceTime;
        dispatch(target);
        if (!m_scenario.reportsOnlyByProbe)
            sendReport(target, done.entry);
    }

    void sendReport(const simulated_upstream &sender, std::size_t entry)
    {
        agent_report report;
        report.upstream = sender.config->id;
        report.incarnation = incarnation { static_cast<std::uint32_t>(
                sender.startedAt.time_since_epoch() / duration { 100ms }) };
        report.running = sender.running;
        report.queued = static_cast<std::uint16_t>(sender.queue.size());
        report.slots = sender.config->slots;
        report.meanServiceTime =
                std::chrono::duration_cast<duration>(meanJob / sender.speed(m_now));
        const endpoint agent = sender.config->agent;
        at(m_now + oneWayToAgent + m_scenario.reportDelay, [this, agent, report, entry] {
            m_entries[entry].router->observe(agent, report, m_now);
        });
    }

    void probe()
    {
        for (const std::size_t entry : m_reachable) {
            for (const endpoint &agent : m_entries[entry].router->probesDue(m_now)) {
                simulated_upstream &target = m_upstreams[agent.port - 20000U];
                at(m_now + oneWayToAgent, [this, &target, entry] {
                    if (target.alive)
                        sendReport(target, entry);
                });
            }
        }
        at(m_now + probeInterval, [this] { probe(); });
    }

    void restart(simulated_upstream &target)
    {
        target.startedAt = m_now;
        target.running = 0;
        target.queue.clear();
    }

    void failZone(std::string_view zone)
    {
        for (simulated_upstream &item : m_upstreams)
            item.alive = item.alive && item.config->zone != zone;
        std::erase_if(m_reachable, [&](std::size_t i) { return m_entries[i].zone == zone; });
    }

    void closeWindow()
    {
        std::vector<double> assigned;
        std::vector<double> busy;
        for (simulated_upstream &item : m_upstreams) {
            if (item.alive) {
                const double windowBusy = std::chrono::duration<double>(item.busy).count();
                assigned.push_back(item.assigned / (item.speed(m_now) * item.config->slots));
                busy.push_back(windowBusy / item.config->slots);
            }
            item.assigned = 0.0;
            item.busy = {};
        }
        if (m_now - m_start >= settleTime) {
            m_assignedImbalance.push_back(largestOverMean(assigned));
            m_busyImbalance.push_back(largestOverMean(busy));
        }
        at(m_now + 1s, [this] { closeWindow(); });
    }

    const compared_policy &m_policy;
    const scenario &m_scenario;
    seeded_random m_random;
    const time_point m_start { 1'800'000'000s };
    time_point m_now = m_start;
    configuration_pointer m_configuration;
    std::deque<simulated_upstream> m_upstreams;
    std::vector<simulated_entry> m_entries;
    std::vector<std::size_t> m_reachable;
    double m_capacity = 0.0;
    std::priority_queue<event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::vector<double> m_assignedImbalance;
    std::vector<double> m_busyImbalance;
    std::vector<double> m_waits;
    double m_waitSum = 0.0;
};

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
    std::printf("Seed %llu. Imbalance: largest over mean, minus 1, p99 over 1-second windows.\n\n",
                static_cast<unsigned long long>(seed));
    std::printf("| scenario | policy | imbalance of jobs per strength | imbalance of busy time | "
                "mean wait, ms | p99 wait, ms |\n|---|---|---|---|---|---|\n");
    const std::string_view only = argc > 2 ? argv[2] : "";
    for (const scenario &current : scenarios) {
        for (const compared_policy &item : comparedPolicies()) {
            if (!only.empty() && item.name != only)
                continue;
            const result measured = simulation(item, current, seed).run();
            std::printf("| %.*s | `%.*s` | %.3f | %.3f | %.2f | %.1f |\n",
                        static_cast<int>(current.name.size()), current.name.data(),
                        static_cast<int>(item.name.size()), item.name.data(),
                        measured.assignedImbalance, measured.busyImbalance, measured.meanWait,
                        measured.p99Wait);
            std::fflush(stdout);
        }
    }
    return 0;
}
