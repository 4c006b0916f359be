#include "deployment_parts.h"

#include <algorithm>

// Processes, links and the store of deployment_simulation.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t packetPort = 7000;
// Upstreams and entry instances of small and of large deployments.
constexpr std::size_t smallUpstreams = 4;
constexpr std::size_t mediumUpstreams = 14;
constexpr std::size_t largeUpstreams = 60;
constexpr std::size_t fewestEntries = 3;
constexpr std::size_t mostEntries = 20;
constexpr std::size_t freeAddresses = 4; // of upstreams that are added later
constexpr unsigned largePercent = 60;    // of the seeds
// Entry instances that the platform names to the others.
constexpr std::size_t seedCount = 3;
constexpr base::duration tickInterval = 5ms;
constexpr base::duration quietInterval = 8s; // longest time between two troubles
// Datagrams that a process reads from one socket before it handles the next one.
constexpr std::size_t batchSize = 16;
constexpr base::duration batchTime = 100us;
// Datagrams that a socket keeps.
constexpr std::size_t socketLimit = 2000;
constexpr std::uint64_t mostFlowsPerUpstream = 10; // in a second, when the rate is limited
constexpr int unknownZones = 300;                  // that the operator evacuates
constexpr std::uint64_t failedReads = 16; // one read of the evacuated zones in so many fails

} // namespace

class deployment_simulation::simulated_entry_output final : public entry_output
{
public:
    simulated_entry_output(deployment_simulation &simulation, std::size_t index)
        : m_simulation(simulation), m_index(index)
    { }
    void sendToAgent(std::uint32_t machine, base::byte_view packet) override
    {
        const base::byte_vector bytes(packet.begin(), packet.end());
        noteSender(machine, m_simulation.m_codec.decode(packet)->source.port);
        toAgent(machine, socket::packets,
                [&simulation = m_simulation, from = address(), bytes](upstream &item) {
                    item.agent->receiveFromEntry({ from, packetPort }, bytes, simulation.m_now);
                });
    }
    void sendToClient(std::uint32_t, base::byte_view packet) override
    {
        const packet_head head = *m_simulation.m_codec.decode(packet);
        m_simulation.schedule(m_simulation.networkDelay(),
                              [&simulation = m_simulation, index = m_index, head] {
                                  const auto found = simulation.m_flows.find(head.destination.port);
                                  if (found == simulation.m_flows.end() || found->second.ended)
                                      return;
                                  if (head.resets)
                                      simulation.noteReset(found->second, found->first, index);
                                  simulation.receiveAtClient(head);
                              });
    }
    void sendMessage(std::uint32_t machine, const peer_message &message) override
    {
        if (machine >= firstEntryMachine) {
            toEntry(machine - firstEntryMachine, message);
            return;
        }
        if (const auto *request = std::get_if<probe_request>(&message))
            noteSender(machine, m_simulation.m_codec.decode(request->packet)->source.port);
        toAgent(machine, socket::messages,
                [&simulation = m_simulation, from = address(), message](upstream &item) {
                    item.agent->receiveMessage(from, message, simulation.m_now);
                });
    }

private:
    std::uint32_t address() const { return m_simulation.m_entries[m_index]->machine; }
    void noteSender(std::uint32_t machine, std::uint16_t port)
    {
        if (machine != 0 && machine <= m_simulation.m_upstreams.size())
            m_simulation.m_upstreams[machine - 1]->senders[port] = m_index;
    }
    void toAgent(std::uint32_t machine, socket target, std::function<void(upstream &)> action)
    {
        upstream *const receiver = m_simulation.agentAt(machine, target);
        if (receiver == nullptr)
            return;
        upstream &item = *receiver;
        if (m_simulation.isLost(m_index, item, true))
            return;
        m_simulation.schedule(
                m_simulation.networkDelay(),
                [&simulation = m_simulation, &item, target, action = std::move(action)] {
                    simulation.deliver(item, target, [&item, action] { action(item); });
                });
    }
    void toEntry(std::size_t index, const peer_message &message)
    {
        m_simulation.schedule(
                m_simulation.networkDelay(),
                [&simulation = m_simulation, index, from = address(), message] {
                    entry &item = *simulation.m_entries[index];
                    simulation.deliver(item, socket::messages, [&simulation, &item, from, message] {
                        item.balancer->receiveMessage(from, message, simulation.m_now);
                    });
                });
    }

    deployment_simulation &m_simulation;
    std::size_t m_index;
};

class deployment_simulation::simulated_agent_output final : public agent_output
{
public:
    simulated_agent_output(deployment_simulation &simulation, upstream &item)
        : m_simulation(simulation), m_upstream(item)
    { }
    void sendToUpstream(base::byte_view packet) override
    {
        const packet_head head = *m_simulation.m_codec.decode(packet);
        m_simulation.schedule(50us, [&simulation = m_simulation, &item = m_upstream, head] {
            simulation.toUpstream(item, head);
        });
    }
    void sendToClient(std::uint32_t, base::byte_view packet) override
    {
        if (m_upstream.lossyUntil > m_simulation.m_now
            && m_simulation.chance(m_upstream.lossPercent))
            return;
        const packet_head head = *m_simulation.m_codec.decode(packet);
        m_simulation.schedule(m_simulation.networkDelay(), [&simulation = m_simulation, head] {
            simulation.receiveAtClient(head);
        });
    }
    void sendToEntry(const base::endpoint &target, base::byte_view packet) override
    {
        const base::byte_vector bytes(packet.begin(), packet.end());
        toEntry(target.address, socket::packets,
                [&simulation = m_simulation, from = m_upstream.machine, bytes](entry &item) {
                    item.balancer->receivePacket(bytes, from, simulation.m_now);
                });
    }
    void sendToAgent(std::uint32_t machine, base::byte_view packet) override
    {
        const base::byte_vector bytes(packet.begin(), packet.end());
        const std::uint16_t port = m_simulation.m_codec.decode(packet)->source.port;
        // The entry instance that the search is for.
        const std::size_t sender = m_upstream.senders[port];
        toAgent(machine, socket::packets,
                [&simulation = m_simulation, from = m_upstream.machine, port, sender,
                 bytes](upstream &item) {
                    item.senders[port] = sender;
                    item.agent->receiveFromEntry({ from, packetPort }, bytes, simulation.m_now);
                });
    }
    void sendMessage(std::uint32_t machine, const peer_message &message) override
    {
        toAgent(machine, socket::messages,
                [&simulation = m_simulation, from = m_upstream.machine, message](upstream &item) {
                    item.agent->receiveMessage(from, message, simulation.m_now);
                });
        toEntry(machine, socket::messages,
                [&simulation = m_simulation, from = m_upstream.machine, message](entry &item) {
                    item.balancer->receiveMessage(from, message, simulation.m_now);
                });
    }

private:
    void toAgent(std::uint32_t machine, socket target, std::function<void(upstream &)> action)
    {
        upstream *const receiver = m_simulation.agentAt(machine, target);
        if (receiver == nullptr)
            return;
        upstream &item = *receiver;
        for (const upstream *end : { &m_upstream, &item }) {
            if (end->lossyUntil > m_simulation.m_now && m_simulation.chance(end->lossPercent))
                return;
        }
        m_simulation.schedule(
                m_simulation.networkDelay(),
                [&simulation = m_simulation, &item, target, action = std::move(action)] {
                    simulation.deliver(item, target, [&item, action] { action(item); });
                });
    }
    void toEntry(std::uint32_t machine, socket target, std::function<void(entry &)> action)
    {
        if (machine < firstEntryMachine)
            return;
        const std::size_t index = machine - firstEntryMachine;
        if (m_simulation.isLost(index, m_upstream, false))
            return;
        m_simulation.schedule(
                m_simulation.networkDelay(),
                [&simulation = m_simulation, index, target, action = std::move(action)] {
                    entry &item = *simulation.m_entries[index];
                    simulation.deliver(item, target, [&item, action] { action(item); });
                });
    }

    deployment_simulation &m_simulation;
    upstream &m_upstream;
};

deployment_simulation::deployment_simulation(std::uint64_t seed, store_history history,
                                             store_writers writers, habits kind,
                                             deployment_controls enabled)
    : m_random(seed), m_storeRandom(~seed), m_history(history), m_writerRandom(seed + 1),
      m_startTimeRandom(seed + 2), m_writers(writers), m_habitRandom(seed + 3), m_habits(kind),
      m_controlRandom(seed + 4), m_declarationRandom(seed + 6), m_addressRandom(seed + 5),
      m_controls(enabled), m_firstUseDelay(simulatedFirstUseDelay(seed))
{
    m_steadyHash = chance(50);
    m_twoServices = chance(60) || m_habits != habits::plain;
    m_configuration.version = 1;
    m_configuration.routes = { { ordersEndpoint, { { "orders", 1 } }, 1 } };
    if (m_twoServices)
        m_configuration.routes.push_back({ catalogEndpoint, { { "catalog", 1 } }, 2 });
    if (m_habits != habits::plain)
        m_configuration.services = { "orders", "catalog" };
    const bool large = chance(largePercent);
    const std::size_t least = large ? mediumUpstreams : smallUpstreams;
    const std::size_t most = large ? largeUpstreams : mediumUpstreams;
    const std::chrono::milliseconds warmUp { 2000 + m_controlRandom.below(8000) };
    const double rate = static_cast<double>(1 + m_controlRandom.below(20)) / 2;
    if (m_controls.coldLimits)
        for (const std::string service : { "orders", "catalog" })
            m_configuration.warmUps.push_back({ service, warmUp, rate });
    writeConfiguration();
    m_counts.upstreams = least + randomIndex(most - least + 1);
    m_counts.entries = fewestEntries
            + randomIndex((large ? mostEntries : mostEntries / 2) - fewestEntries + 1);
    m_flowInterval = base::duration { 1s } / static_cast<int>(m_counts.upstreams);
    if (m_controls.coldLimits)
        m_flowInterval /= static_cast<int>(1 + m_controlRandom.below(mostFlowsPerUpstream));
    drawTroubles();
    addUpstreams(m_counts.upstreams);
    m_links.resize(m_counts.entries * m_upstreams.size());
    for (std::size_t i = 0; i < m_counts.entries; ++i) {
        m_entries.push_back(std::make_unique<entry>());
        entry &item = *m_entries.back();
        item.machine = static_cast<std::uint32_t>(firstEntryMachine + i);
        item.zone = i % zoneNames.size();
        item.tick = [this, i] { tickEntry(i); };
        item.output = std::make_unique<simulated_entry_output>(*this, i);
    }
    for (std::size_t i = 0; i < m_counts.entries; ++i)
        startEntry(i);
}

deployment_simulation::~deployment_simulation() = default;

void deployment_simulation::addUpstreams(std::size_t count)
{
    for (std::size_t i = 0; i < count + freeAddresses; ++i) {
        m_upstreams.push_back(std::make_unique<upstream>());
        upstream &item = *m_upstreams.back();
        item.machine = static_cast<std::uint32_t>(i + 1);
        item.zone = i % zoneNames.size();
        item.service = m_twoServices && i % 4 == 3 ? "catalog" : "orders";
        item.slots = static_cast<std::uint32_t>(1 + randomIndex(4));
        item.tick = [this, &item] {
            item.agent->tick(m_now);
            item.agent->upstreamFlushed(m_now);
        };
        item.output = std::make_unique<simulated_agent_output>(*this, item);
        if (i < count)
            startUpstream(item);
        startAgent(item);
    }
}

void deployment_simulation::schedule(base::duration delay, std::function<void()> action)
{
    m_events.push_back({ m_now + delay, m_order++, std::move(action) });
    std::ranges::push_heap(m_events, std::greater<>());
}

void deployment_simulation::repeat(base::duration interval, const std::function<void()> &action)
{
    schedule(interval, [this, interval, action] {
        action();
        repeat(interval, action);
    });
}

base::duration deployment_simulation::randomDuration(base::duration minimum, base::duration maximum)
{
    return randomDuration(m_random, minimum, maximum);
}

base::duration deployment_simulation::randomDuration(base::seeded_random &random,
                                                     base::duration minimum, base::duration maximum)
{
    const auto range = static_cast<std::uint64_t>((maximum - minimum).count() + 1);
    return minimum + base::duration { static_cast<std::int64_t>(random.below(range)) };
}

base::duration deployment_simulation::networkDelay()
{
    return randomDuration(200us, 1200us);
}

void deployment_simulation::reportViolation(std::string text)
{
    if (m_violation.empty())
        m_violation = std::move(text);
}

deployment_simulation::upstream *deployment_simulation::agentAt(std::uint32_t machine,
                                                                socket target)
{
    if (machine != 0 && machine <= m_upstreams.size())
        return m_upstreams[machine - 1].get();
    if (target == socket::packets)
        reportViolation("a packet of a client was sent to machine " + std::to_string(machine)
                        + ", which has no agent");
    return nullptr;
}

bool deployment_simulation::isLost(std::size_t entryIndex, const upstream &item,
                                   bool towardsUpstream)
{
    const link &between = m_links[entryIndex * m_upstreams.size() + item.machine - 1];
    if ((towardsUpstream ? between.cutToUpstreamUntil : between.cutToEntryUntil) > m_now)
        return true;
    const auto loses = [this](const process &machine) {
        return machine.lossyUntil > m_now && chance(machine.lossPercent);
    };
    return loses(*m_entries[entryIndex]) || loses(item);
}

void deployment_simulation::deliver(process &target, socket from, std::function<void()> action)
{
    if (target.input[static_cast<std::size_t>(from)].size() < socketLimit)
        enqueue(target, from, std::move(action));
}

void deployment_simulation::post(process &target, std::function<void()> action)
{
    enqueue(target, socket::messages, std::move(action));
}

void deployment_simulation::enqueue(process &target, socket from, std::function<void()> action)
{
    if (!target.running)
        return;
    if (m_now >= target.stalledUntil && m_now >= target.slowUntil && !target.hasInput()) {
        action();
        target.tick();
        return;
    }
    target.input[static_cast<std::size_t>(from)].push_back(std::move(action));
    if (!target.wakes)
        wake(target);
}

void deployment_simulation::wake(process &target)
{
    base::duration wait = std::max(target.stalledUntil - m_now, batchTime);
    if (m_now < target.slowUntil)
        wait = std::max(wait, target.slowStep);
    target.wakes = true;
    schedule(wait, [this, &target, incarnation = target.incarnation] {
        if (target.incarnation != incarnation)
            return;
        target.wakes = false;
        if (m_now >= target.stalledUntil)
            handleBatch(target);
        if (!target.wakes && (target.hasInput() || m_now < target.slowUntil))
            wake(target);
    });
}

void deployment_simulation::handleBatch(process &target)
{
    // The event loop of a process may serve its timer before its sockets.
    if (chance(50))
        target.tick();
    for (auto &queue : target.input) {
        for (std::size_t i = 0; i < batchSize && !queue.empty(); ++i) {
            const auto action = std::move(queue.front());
            queue.pop_front();
            action();
        }
    }
    target.tick();
}

void deployment_simulation::stallProcess(process &target, base::duration length)
{
    target.stalledUntil = std::max(target.stalledUntil, m_now + length);
    target.disruptUntil(target.stalledUntil);
}

void deployment_simulation::tickAll()
{
    const auto tick = [this](process &item) {
        if (item.running && m_now >= item.stalledUntil && m_now >= item.slowUntil
            && !item.hasInput())
            item.tick();
    };
    for (const auto &item : m_entries)
        tick(*item);
    for (const auto &item : m_upstreams)
        tick(*item);
}

void deployment_simulation::startAgent(upstream &item)
{
    stopAgent(item);
    item.running = true;
    const auto bounds = m_controls.coldLimits ? std::optional(coldBounds) : std::nullopt;
    item.agent = std::make_unique<flow_agent>(
            agent_identity { m_random.next(),
                             item.service,
                             bounds,
                             { m_controls.pace, m_controls.overloadControl } },
            m_codec, m_documents, *item.output, m_agentObserver);
    item.tick();
}

void deployment_simulation::stopAgent(upstream &item)
{
    if (item.running) {
        m_counts.held += item.agent->counters().held;
        m_counts.refusedCold += item.agent->counters().refusedCold;
        m_counts.overloaded += item.agent->counters().overloaded;
    }
    item.running = false;
    item.wakes = false;
    ++item.incarnation;
    std::ranges::for_each(item.input, [](auto &queue) { queue.clear(); });
}

void deployment_simulation::startEntry(std::size_t index)
{
    stopEntry(index);
    entry &item = *m_entries[index];
    item.running = true;
    item.stopping = false;
    item.random = std::make_unique<base::seeded_random>(m_random.next());
    item.policy = std::make_unique<expected_time_policy>(*item.random);
    item.observer = std::make_unique<recording_observer>();
    std::vector<std::uint32_t> seeds;
    for (std::size_t i = 0; i < std::min(seedCount, m_counts.entries); ++i)
        seeds.push_back(static_cast<std::uint32_t>(firstEntryMachine + i));
    item.reader = {};
    item.evacuation = {};
    item.learnedAt = {};
    item.startedAt = m_now;
    item.balancer = std::make_unique<entry_balancer>(
            entry_identity { .bootId = m_random.next(),
                             .zone = std::string(zoneNames[item.zone]),
                             .seeds = seeds,
                             .isSeed = std::ranges::find(seeds, item.machine) != seeds.end(),
                             .firstUseDelay = m_firstUseDelay,
                             .sendsNotices = m_controls.evacuation || m_controls.coldLimits },
            m_codec, m_documents, *item.policy, *item.output, *item.observer);
    item.tick();
}

void deployment_simulation::stopEntry(std::size_t index)
{
    entry &item = *m_entries[index];
    if (item.running)
        m_counts.searches += item.balancer->counters().searches;
    item.running = false;
    item.wakes = false;
    ++item.incarnation;
    std::ranges::for_each(item.input, [](auto &queue) { queue.clear(); });
}

void deployment_simulation::tickEntry(std::size_t index)
{
    entry &item = *m_entries[index];
    item.balancer->tick(m_now);
    if (item.balancer->readDue(m_now))
        readStore(index);
    checkConfigurationOrder(item);
}

void deployment_simulation::readStore(std::size_t index)
{
    entry &item = *m_entries[index];
    item.balancer->beginRead(m_now);
    if (!m_storeUp || m_now < item.refusedUntil)
        return;
    const base::duration time =
            m_now < m_storeSlowUntil ? randomDuration(4ms, 1500ms) : randomDuration(2ms, 8ms);
    upstream_list list = m_store.upstreams();
    if (m_controls.evacuation) {
        if (m_controlRandom.below(failedReads) == 0)
            m_evacuationReadFailedAt = m_now;
        else
            item.evacuation = m_store.evacuation();
        // As the store's client does, without names that no zone of a listed upstream has.
        list.evacuation = item.evacuation;
        std::erase_if(list.evacuation.zones, [&](const std::string &zone) {
            return std::ranges::find(list.upstreams, zone, &upstream_record::zone)
                    == list.upstreams.end();
        });
    }
    if (m_controls.coldLimits)
        std::ranges::for_each(list.upstreams, [this](upstream_record &record) {
            record.warmUpLeft = warmUpLeft(record.incarnation);
        });
    schedule(time,
             [this, &item, readAt = m_now, incarnation = item.incarnation, list = std::move(list),
              configuration = item.reader.readConfiguration(m_store)] {
                 if (item.incarnation != incarnation)
                     return;
                 post(item, [this, &item, readAt, list, configuration] {
                     item.balancer->finishRead(configuration, list, readAt, m_now);
                 });
             });
}

void deployment_simulation::publish(const upstream &item)
{
    upstream_record record;
    record.id = item.id;
    record.service = item.service;
    record.address = { item.machine, 8080 };
    record.zone = zoneNames[item.zone];
    record.slots = item.slots;
    record.phase = item.draining ? upstream_phase::draining : upstream_phase::ready;
    record.incarnation = item.born;
    m_store.put(record, m_now);
}

void deployment_simulation::withdraw(const std::string &id)
{
    m_store.remove(id, m_now);
}

void deployment_simulation::writeConfiguration()
{
    if (!m_storeUp)
        return;
    m_store.publish(m_configuration, m_now);
    if (!m_acknowledgedVersions.empty()
        && m_acknowledgedVersions.back().second == m_configuration.version)
        return;
    m_acknowledgedVersions.emplace_back(m_now, m_configuration.version);
    for (const flow_route &route : m_configuration.routes) {
        std::vector<std::string> names;
        for (const weighted_service &item : route.services) {
            if (item.weight > 0)
                names.push_back(item.name);
        }
        auto &versions = m_allowedServices[route.address.address];
        if (versions.empty() || versions.back().names != names)
            versions.push_back({ m_now, names });
    }
}

void deployment_simulation::whenStoreIsUp(std::function<void()> action)
{
    if (m_storeUp) {
        action();
        return;
    }
    schedule(randomDuration(50ms, 500ms),
             [this, action = std::move(action)] { whenStoreIsUp(action); });
}

std::string deployment_simulation::run(std::chrono::seconds length)
{
    const base::time_point end = m_now + length;
    const std::function<void()> traffic = [&] {
        openFlow();
        schedule(randomDuration(m_flowInterval / 2, m_flowInterval * 3 / 2), traffic);
    };
    const std::function<void()> troubles = [&] {
        causeTrouble();
        schedule(randomDuration(50ms, m_troubleInterval), troubles);
    };
    schedule(2s, traffic);
    schedule(4s, troubles);
    if (m_history == store_history::restoredAtTimes) {
        // A store with few changes reaches its former revisions late.
        if (m_storeRandom.below(2) == 0)
            m_troubleInterval = quietInterval;
        restoreStoreAtTimes();
    }
    if (m_writers == store_writers::othersToo)
        writeForeignEntriesAtTimes();
    if (m_habits != habits::plain && m_twoServices)
        changeServicesAtTimes();
    if (m_controls.evacuation) {
        for (int i = 0; i < unknownZones; ++i)
            m_evacuationKeys.insert("unknown-" + std::to_string(i));
        changeEvacuationAtTimes();
    }
    if (m_controls.overloadControl || m_controls.pace)
        slowAllAtTimes();
    repeat(100ms, [this] {
        checkMisrouting();
        checkViews();
        checkEvacuatedZones();
    });
    repeat(tickInterval, [this] { tickAll(); });
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        schedule(randomDuration(0ms, 500ms), [this, i] { checkReadiness(i); });
    while (m_now < end && m_violation.empty()) {
        std::ranges::pop_heap(m_events, std::greater<>());
        const event next = std::move(m_events.back());
        m_events.pop_back();
        m_now = next.time;
        next.action();
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        stopEntry(i);
    for (const auto &item : m_upstreams)
        stopAgent(*item);
    return m_violation;
}

} // namespace oriolehold::flow
