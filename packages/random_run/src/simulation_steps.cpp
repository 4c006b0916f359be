#include "simulation.h"

#include <algorithm>
#include <array>

// Planned changes and faults of a randomised run.

namespace oriolehold::random_run {

namespace {

using namespace std::chrono_literals;

constexpr std::array zones { "a", "b", "c" };
constexpr std::uint32_t entryNetwork = 0x0a640000; // 10.100.0.0
constexpr std::uint32_t agentNetwork = 0x0ac80000; // 10.200.0.0
constexpr std::uint16_t port = 5683;
constexpr std::size_t minEntries = 2;
constexpr std::size_t maxEntries = 5;
constexpr std::size_t minUpstreams = 2; // live ones of a service
constexpr std::size_t maxUpstreams = 8; // of a service, including those that are leaving
constexpr core::duration rotationInterval = 10s;
constexpr std::uint64_t restoreStepInterval = 4; // mean number of steps between two restores
constexpr std::size_t mostLostDocuments = 6;     // by a restore
constexpr core::duration startupDelay = 500ms;   // until a new process is ready
// Delay until the fabric uses a new list of entry instances.
constexpr core::duration fabricUpdateDelay = 1s;

} // namespace

void simulation::scheduleSteps()
{
    const core::time_point end = m_time.now() + m_options.length;
    const auto next = [this](auto &&self, core::time_point limit) -> void {
        m_time.after(randomDuration(200ms, 3s), [this, self, limit] {
            if (m_time.now() >= limit)
                return;
            runRandomStep();
            self(self, limit);
        });
    };
    next(next, end);
}

void simulation::runRandomStep()
{
    constexpr std::array<step, 5> planned { &simulation::addUpstream, &simulation::drainUpstream,
                                            &simulation::addEntry, &simulation::removeEntry,
                                            &simulation::rotateKeys };
    constexpr std::array<step, 6> faults { &simulation::restartAgent,   &simulation::pauseAgent,
                                           &simulation::killEntry,      &simulation::pauseEntry,
                                           &simulation::partitionZones, &simulation::degradeLinks };
    // Extra draws would change the runs of the other plans.
    if (m_options.plan == change_plan::restores && m_random.below(restoreStepInterval) == 0) {
        restorePlatform();
        return;
    }
    const bool withFaults = m_options.plan != change_plan::planned;
    const std::size_t count = planned.size() + (withFaults ? faults.size() : 0);
    const std::size_t choice = m_random.below(count);
    ++m_result.planSteps;
    if (choice < planned.size())
        (this->*planned[choice])();
    else
        (this->*faults[choice - planned.size()])();
}

void simulation::addUpstream()
{
    const bool initial = m_content.generation == 0;
    const core::service_id service = initial && m_nextUpstream <= 2
            ? core::service_id { m_nextUpstream }
            : (initial ? core::service_id { static_cast<std::uint16_t>(m_nextUpstream - 2) }
                       : randomService());
    const auto existing = static_cast<std::size_t>(
            std::ranges::count_if(m_content.upstreams, [&](const core::upstream &item) {
                return item.service == service;
            }));
    if (existing >= maxUpstreams)
        return;
    core::upstream upstream;
    upstream.id = core::upstream_id { m_nextUpstream++ };
    upstream.service = service;
    upstream.index = m_nextIndex[service]++;
    upstream.zone = zones[m_random.below(zones.size())];
    upstream.agent = { agentNetwork + core::toInteger(upstream.id), port };
    upstream.slots = 2;
    upstream.strength = 1.0 + static_cast<double>(m_random.below(4));
    m_content.upstreams.push_back(upstream);
    startAgent(upstream, core::incarnation { m_nextIncarnation++ });
    if (!initial)
        publish();
}

void simulation::drainUpstream()
{
    const core::service_id service = randomService();
    std::vector<core::upstream *> live;
    for (core::upstream &item : m_content.upstreams) {
        if (item.service == service && item.state == core::upstream_state::live)
            live.push_back(&item);
    }
    if (live.size() <= minUpstreams)
        return;
    core::upstream &chosen = *live[m_random.below(live.size())];
    chosen.state = core::upstream_state::leaving;
    publish();
    agent_process *agent = m_agents.at(chosen.agent);
    // The operator requests the drain up to 4 s after the publication; the agent exits when it has
    // drained.
    m_time.after(randomDuration(0s, 4s),
                 [this, agent] { m_network.runOn(agent->node(), [agent] { agent->drain(); }); });
    const auto removeWhenDrained = [this, agent](auto &&self) -> void {
        m_time.after(200ms, [this, agent, self] {
            if (m_network.isAlive(agent->node()) && !agent->drained()) {
                self(self);
                return;
            }
            agent->kill();
            const core::endpoint address = agent->description().agent;
            if (m_agents.contains(address) && m_agents.at(address) == agent)
                m_agents.erase(address);
            std::erase_if(m_content.upstreams,
                          [&](const core::upstream &item) { return item.agent == address; });
            publish();
        });
    };
    // Checks only after the drain request, which comes within 4 s, has reached the agent.
    m_time.after(5s, [removeWhenDrained] { removeWhenDrained(removeWhenDrained); });
}

void simulation::addEntry()
{
    if (m_entries.size() >= maxEntries)
        return;
    core::entry_instance description;
    description.id = core::entry_id { m_nextEntry++ };
    description.zone = zones[m_random.below(zones.size())];
    description.address = { entryNetwork + core::toInteger(description.id), port };
    m_content.entries.push_back(description);
    entry_process &entry = startEntry(description);
    if (m_content.generation == 0) {
        m_fabricEntries.push_back(description.address);
        return;
    }
    publish();
    // The fabric sends packets to a new entry instance when the instance is ready.
    m_time.after(startupDelay, [this, &entry] {
        m_network.runOn(entry.node(), [this, &entry] {
            entry.configure(m_published);
            m_fabricEntries.push_back(entry.description().address);
        });
    });
}

void simulation::removeEntry()
{
    if (m_fabricEntries.size() <= minEntries)
        return;
    const core::endpoint address = m_fabricEntries[m_random.below(m_fabricEntries.size())];
    std::erase_if(m_content.entries,
                  [&](const core::entry_instance &item) { return item.address == address; });
    publish();
    // The instance keeps running until the fabric and the agents use other instances.
    m_time.after(fabricUpdateDelay, [this, address] {
        if (m_fabricEntries.size() > 1)
            std::erase(m_fabricEntries, address);
    });
    m_time.after(fabricUpdateDelay + 4s, [this, address] {
        const auto found = m_entries.find(address);
        if (found == m_entries.end() || std::ranges::count(m_fabricEntries, address) > 0)
            return;
        m_network.kill(found->second->node());
        m_entries.erase(found);
    });
}

void simulation::rotateKeys()
{
    if (m_content.generation > 0 && m_time.now() < m_nextRotation)
        return;
    m_nextRotation = m_time.now() + rotationInterval;
    core::token_key key;
    key.id = m_nextKey++;
    std::ranges::generate(key.secret,
                          [this] { return static_cast<std::uint8_t>(m_random.next()); });
    m_content.keys.push_back(key);
    // A new key is accepted for one rotation interval before it signs. An old key is accepted for
    // longer than any request takes.
    constexpr std::size_t maxKeys = 6;
    if (m_content.keys.size() > maxKeys)
        m_content.keys.erase(m_content.keys.begin());
    m_content.signingKey =
            m_content.keys.size() > 1 ? m_content.keys[m_content.keys.size() - 2].id : key.id;
    if (m_content.generation > 0)
        publish();
}

void simulation::restartAgent()
{
    agent_process *previousAgent = randomAgent();
    previousAgent->kill();
    const core::upstream description = previousAgent->description();
    m_time.after(randomDuration(200ms, 3s), [this, previousAgent, description] {
        const auto found = m_agents.find(description.agent);
        if (found == m_agents.end() || found->second != previousAgent)
            return;
        agent_process &agent = startAgent(description,
                                          m_options.variant == variant::sameIncarnation
                                                  ? previousAgent->incarnation()
                                                  : core::incarnation { m_nextIncarnation++ });
        m_time.after(startupDelay, [this, &agent] {
            m_network.runOn(agent.node(), [this, &agent] { agent.configure(m_published); });
        });
    });
}

void simulation::pauseAgent()
{
    const node_id node = randomAgent()->node();
    m_network.pause(node);
    m_time.after(randomDuration(100ms, 8s), [this, node] { m_network.resume(node); });
}

void simulation::killEntry()
{
    if (m_fabricEntries.size() <= minEntries)
        return;
    const core::endpoint address = m_fabricEntries[m_random.below(m_fabricEntries.size())];
    const auto found = m_entries.find(address);
    if (found == m_entries.end())
        return;
    m_network.kill(found->second->node());
    m_entries.erase(found);
    m_time.after(fabricUpdateDelay, [this, address] {
        std::erase(m_fabricEntries, address);
        std::erase_if(m_content.entries,
                      [&](const core::entry_instance &item) { return item.address == address; });
        if (m_fabricEntries.empty())
            addEntry();
        publish();
    });
}

void simulation::pauseEntry()
{
    const core::endpoint address = m_fabricEntries[m_random.below(m_fabricEntries.size())];
    const entry_process *entry = entryAt(address);
    if (entry == nullptr)
        return;
    const node_id node = entry->node();
    m_network.pause(node);
    m_time.after(randomDuration(100ms, 5s), [this, node] { m_network.resume(node); });
}

void simulation::partitionZones()
{
    const char *from = zones[m_random.below(zones.size())];
    const char *to = zones[m_random.below(zones.size())];
    m_network.partition(from, to);
    if (m_random.below(2) == 0)
        m_network.partition(to, from);
    m_time.after(randomDuration(500ms, 6s), [this] { m_network.removePartitions(); });
}

void simulation::degradeLinks()
{
    link_conditions conditions;
    conditions.loss = 0.2 * m_random.uniform01();
    conditions.duplicate = 0.2 * m_random.uniform01();
    conditions.lateDuplicate = 0.05 * m_random.uniform01();
    conditions.maxDelay = randomDuration(1500us, 50ms);
    m_network.setConditions(conditions);
    m_time.after(randomDuration(500ms, 6s), [this] { m_network.setConditions({}); });
}

void simulation::restorePlatform()
{
    ++m_result.planSteps;
    ++m_result.platformRestores;
    const std::size_t lost = m_random.below(std::min(m_documents.size(), mostLostDocuments));
    m_published = m_documents[m_documents.size() - 1 - lost];
    distribute(m_published);
    // The operator publishes the newest document again.
    m_time.after(randomDuration(0s, 5s), [this] {
        m_published = m_documents.back();
        distribute(m_published);
    });
}

} // namespace oriolehold::random_run
