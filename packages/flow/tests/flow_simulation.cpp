#include "flow_simulation.h"

#include <algorithm>

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t entryCount = 3;
constexpr std::size_t upstreamCount = 8;
// The others are added by faults.
constexpr std::size_t initialUpstreams = 6;
constexpr std::uint32_t firstEntry = 200; // address of the first entry instance's machine
constexpr std::uint32_t clientAddress = 0x64400001;
constexpr std::uint16_t packetPort = 7000;
constexpr base::endpoint ordersAddress { 0xc6120001, 443 };
constexpr base::endpoint catalogAddress { 0xc6120002, 443 };
// Longest time after the last disturbance in which packets of an open flow may miss its upstream.
constexpr base::duration misroutingLimit = 2s;
// With a slow store, an entry instance and an agent that were killed are excused until a packet
// reaches the upstream, for this time at most.
constexpr base::duration killExcuse = 4s;
// Time after which a draining upstream must not get a new flow.
constexpr base::duration drainLimit = 3s;
constexpr unsigned lossPercent = 1;
// Interval of the calls of tick().
constexpr base::duration tickInterval = 5ms;

} // namespace

// An upstream and the agent on its machine.
struct flow_simulation::upstream
{
    std::uint32_t machine = 0;
    std::string service;
    std::uint64_t incarnation = 0;
    std::uint64_t born = 0; // Unix milliseconds
    std::string id;
    bool alive = true;
    bool draining = false;
    base::time_point drainSince {};
    // Sequence numbers of the answers to opening packets, by client port.
    std::map<std::uint16_t, std::uint32_t> offered;
    std::set<std::uint16_t> open; // client ports of the open flows
    std::unique_ptr<simulated_agent_output> output;
    std::unique_ptr<flow_agent> agent;
    std::uint64_t agentIncarnation = 0;
    base::time_point agentKilledAt {};
};

struct flow_simulation::entry
{
    std::uint32_t machine = 0;
    bool inRotation = true;
    std::uint64_t incarnation = 0;
    base::time_point killedAt {};
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<expected_time_policy> policy;
    std::unique_ptr<simulated_entry_output> output;
    std::unique_ptr<recording_observer> observer;
    std::unique_ptr<entry_balancer> balancer;
};

struct flow_simulation::client_flow
{
    base::endpoint service;
    std::uint32_t offer = 0; // sequence number of the answer that opened the flow
    bool established = false;
    bool ended = false;
    std::uint32_t sequence = 1;
    // The upstream that holds the flow, once the end of the handshake reached it.
    std::uint32_t owner = 0;
    std::uint64_t ownerIncarnation = 0;
    base::time_point ownerReachedAt {};
    base::time_point openedAt {};
};

class flow_simulation::simulated_entry_output final : public entry_output
{
public:
    simulated_entry_output(flow_simulation &simulation, std::uint32_t machine)
        : m_simulation(simulation), m_machine(machine)
    { }
    void sendToAgent(std::uint32_t machine, base::byte_view packet) override
    {
        const base::byte_vector bytes(packet.begin(), packet.end());
        deliver(machine, [this, bytes](upstream &item) {
            item.agent->receiveFromEntry({ m_machine, packetPort }, bytes, m_simulation.m_now);
        });
    }
    void sendToClient(std::uint32_t, base::byte_view packet) override
    {
        const packet_head head = *m_simulation.m_codec.decode(packet);
        m_simulation.schedule(m_simulation.networkDelay(),
                              [this, head] { m_simulation.toClient(head, false, m_machine); });
    }
    void sendMessage(std::uint32_t machine, const peer_message &message) override
    {
        deliver(machine, [this, message](upstream &item) {
            item.agent->receiveMessage(m_machine, message, m_simulation.m_now);
        });
    }

private:
    void deliver(std::uint32_t machine, const std::function<void(upstream &)> &action)
    {
        if (machine == 0 || machine > upstreamCount || m_simulation.chance(lossPercent))
            return;
        m_simulation.schedule(m_simulation.networkDelay(),
                              [&simulation = m_simulation, machine, action] {
                                  upstream &item = *simulation.m_upstreams[machine - 1];
                                  action(item);
                                  simulation.tickAgent(item);
                              });
    }

    flow_simulation &m_simulation;
    std::uint32_t m_machine;
};

class flow_simulation::simulated_agent_output final : public agent_output
{
public:
    simulated_agent_output(flow_simulation &simulation, upstream &item)
        : m_simulation(simulation), m_upstream(item)
    { }
    void sendToUpstream(base::byte_view packet) override
    {
        const packet_head head = *m_simulation.m_codec.decode(packet);
        // The packet is lost if the agent is restarted before it arrives.
        m_simulation.schedule(50us, [this, head, agentIncarnation = m_upstream.agentIncarnation] {
            if (m_upstream.agentIncarnation == agentIncarnation)
                m_simulation.toUpstream(m_upstream, head);
        });
    }
    void sendToClient(std::uint32_t, base::byte_view packet) override
    {
        const packet_head head = *m_simulation.m_codec.decode(packet);
        m_simulation.schedule(m_simulation.networkDelay(), [this, head] {
            m_simulation.toClient(head, true, m_upstream.machine);
        });
    }
    void sendToEntry(const base::endpoint &target, base::byte_view packet) override
    {
        const base::byte_vector bytes(packet.begin(), packet.end());
        deliver(target.address, [this, bytes, from = m_upstream.machine](entry &item) {
            item.balancer->receivePacket(bytes, from, m_simulation.m_now);
        });
    }
    // Searches of small deployments are not relayed.
    void sendToAgent(std::uint32_t, base::byte_view) override { }
    void sendMessage(std::uint32_t machine, const peer_message &message) override
    {
        deliver(machine, [this, message, from = m_upstream.machine](entry &item) {
            item.balancer->receiveMessage(from, message, m_simulation.m_now);
        });
    }

private:
    void deliver(std::uint32_t machine, const std::function<void(entry &)> &action)
    {
        if (machine < firstEntry || m_simulation.chance(lossPercent))
            return;
        const std::size_t index = machine - firstEntry;
        m_simulation.schedule(m_simulation.networkDelay(),
                              [&simulation = m_simulation, index, action] {
                                  action(*simulation.m_entries[index]);
                                  simulation.tickEntry(index);
                              });
    }

    flow_simulation &m_simulation;
    upstream &m_upstream;
};

flow_simulation::flow_simulation(std::uint64_t seed, store_speed storeSpeed)
    : m_random(seed), m_storeRandom(~seed), m_storeSpeed(storeSpeed),
      m_firstUseDelay(simulatedFirstUseDelay(seed))
{
    m_configuration.version = 1;
    m_configuration.routes = { { ordersAddress, { { "orders", 1 } }, 1 },
                               { catalogAddress, { { "catalog", 1 } }, 2 } };
    for (std::size_t i = 0; i < upstreamCount; ++i) {
        m_upstreams.push_back(std::make_unique<upstream>());
        upstream &item = *m_upstreams.back();
        item.machine = static_cast<std::uint32_t>(i + 1);
        item.service = i % 3 != 2 ? "orders" : "catalog";
        if (i < initialUpstreams)
            startUpstream(item);
        else
            item.alive = false;
        startAgent(item);
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        m_entries.push_back(std::make_unique<entry>());
        m_entries.back()->machine = static_cast<std::uint32_t>(firstEntry + i);
        startEntry(i);
    }
}

flow_simulation::~flow_simulation() = default;

void flow_simulation::schedule(base::duration delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, m_order++, std::move(action) });
}

base::duration flow_simulation::randomDuration(std::int64_t minimum, std::int64_t maximum)
{
    return base::duration { minimum
                            + static_cast<std::int64_t>(m_random.below(
                                    static_cast<std::uint64_t>(maximum - minimum + 1))) };
}

base::duration flow_simulation::networkDelay()
{
    return randomDuration(200, 1200);
}

void flow_simulation::reportViolation(std::string text)
{
    if (m_violation.empty())
        m_violation = std::move(text);
}

void flow_simulation::startUpstream(upstream &item)
{
    item.incarnation = m_nextId;
    item.born = std::max(unixMilliseconds(m_now), item.born + 1);
    item.id = "i-" + std::to_string(m_nextId++);
    item.alive = true;
    item.draining = false;
    item.offered.clear();
    item.open.clear();
    ++m_revision;
}

void flow_simulation::startAgent(upstream &item)
{
    static recording_observer observer;
    if (!item.output)
        item.output = std::make_unique<simulated_agent_output>(*this, item);
    ++item.agentIncarnation;
    item.agent = std::make_unique<flow_agent>(agent_identity { m_random.next(), item.service },
                                              m_codec, m_documents, *item.output, observer);
    tickAgent(item);
}

void flow_simulation::startEntry(std::size_t index)
{
    entry &item = *m_entries[index];
    ++item.incarnation;
    if (!item.output)
        item.output = std::make_unique<simulated_entry_output>(*this, item.machine);
    item.random = std::make_unique<base::seeded_random>(m_random.next());
    item.policy = std::make_unique<expected_time_policy>(*item.random);
    item.observer = std::make_unique<recording_observer>();
    item.balancer = std::make_unique<entry_balancer>(
            entry_identity { m_random.next(), "zone", {}, false, m_firstUseDelay }, m_codec,
            m_documents, *item.policy, *item.output, *item.observer);
    tickEntry(index);
}

void flow_simulation::killEntry(std::size_t index)
{
    m_entries[index]->killedAt = m_now;
    startEntry(index);
}

void flow_simulation::killAgent(upstream &item)
{
    item.agentKilledAt = m_now;
    startAgent(item);
}

void flow_simulation::tickEntry(std::size_t index)
{
    entry &item = *m_entries[index];
    item.balancer->tick(m_now);
    if (item.balancer->readDue(m_now)) {
        item.balancer->beginRead(m_now);
        if (m_storeUp) {
            const base::time_point readAt = m_now;
            schedule(readTime(),
                     [this, index, readAt, incarnation = item.incarnation, list = currentList(),
                      configuration = m_configuration] {
                         if (m_entries[index]->incarnation == incarnation)
                             m_entries[index]->balancer->finishRead(configuration, list, readAt,
                                                                    m_now);
                     });
        }
    }
    if (!std::ranges::is_sorted(item.observer->versions))
        reportViolation("an entry instance returned to an older configuration");
}

base::duration flow_simulation::readTime()
{
    // Every second phase of 3 s is slow.
    const bool slowPhase = m_now.time_since_epoch() / 3s % 2 == 1;
    if (m_storeSpeed == store_speed::quick || !slowPhase)
        return 4ms;
    return std::chrono::microseconds { 4'000 + m_storeRandom.below(1'500'000) };
}

void flow_simulation::tickAgent(upstream &item)
{
    item.agent->tick(m_now);
}

upstream_list flow_simulation::currentList() const
{
    upstream_list list;
    list.revision.number = m_revision;
    for (const auto &item : m_upstreams) {
        if (!item->alive)
            continue;
        upstream_record record;
        record.id = item->id;
        record.service = item->service;
        record.address = { item->machine, 8080 };
        record.zone = "zone";
        record.slots = 2;
        record.phase = item->draining ? upstream_phase::draining : upstream_phase::ready;
        record.incarnation = item->born;
        list.upstreams.push_back(record);
    }
    return list;
}

void flow_simulation::toUpstream(upstream &item, packet_head head)
{
    if (!item.alive)
        return;
    const std::uint16_t port = head.source.port;
    const base::endpoint expected = item.service == "orders" ? ordersAddress : catalogAddress;
    const auto answer = [this, &item, head](packet_head reply) {
        reply.source = head.destination;
        reply.destination = head.source;
        reply.acknowledges = true;
        schedule(50us,
                 [this, &item, agentIncarnation = item.agentIncarnation,
                  incarnation = item.incarnation, reply] {
                     if (item.agentIncarnation != agentIncarnation || !item.alive
                         || item.incarnation != incarnation)
                         return;
                     item.agent->receiveFromUpstream(fake_codec::encode(reply), m_now);
                     tickAgent(item);
                 });
    };
    auto returnPacket = [this, &item, returned = head]() mutable {
        returned.returned = true;
        schedule(50us, [this, &item, agentIncarnation = item.agentIncarnation, returned] {
            if (item.agentIncarnation != agentIncarnation)
                return;
            item.agent->receiveFromUpstream(fake_codec::encode(returned), m_now);
            tickAgent(item);
        });
    };
    if (head.isOpening()) {
        if (head.destination != expected)
            reportViolation("a new flow reached an upstream of another service");
        if (item.draining && m_now - item.drainSince > drainLimit && m_storeUp
            && m_now - m_storeChangedAt > 4s)
            reportViolation("a draining upstream got a new flow");
        if (chance(5)) {
            returnPacket();
            return;
        }
        std::uint32_t &offer = item.offered[port];
        if (offer == 0)
            offer = static_cast<std::uint32_t>(m_random.below(1'000'000) + 1);
        packet_head reply;
        reply.opens = true;
        reply.sequence = offer;
        answer(reply);
        return;
    }
    client_flow &flow = m_flows.at(port);
    const auto offered = item.offered.find(port);
    const bool opens = offered != item.offered.end() && head.acknowledgement == offered->second;
    if (!item.open.contains(port) && !opens) {
        returnPacket();
        return;
    }
    if (item.open.insert(port).second) {
        ++m_counts.flowsOpened;
        flow.owner = item.machine;
        flow.ownerIncarnation = item.incarnation;
        flow.openedAt = m_now;
    }
    flow.ownerReachedAt = m_now;
    if (head.payloadSize > 0) {
        packet_head reply;
        reply.payloadSize = 100;
        schedule(randomDuration(5'000, 20'000), [answer, reply] { answer(reply); });
    }
}

void flow_simulation::toClient(const packet_head &head, bool fromUpstream, std::uint32_t machine)
{
    const auto found = m_flows.find(head.destination.port);
    if (found == m_flows.end() || found->second.ended)
        return;
    client_flow &flow = found->second;
    if (head.resets) {
        ++m_counts.resets;
        if (flow.owner != 0 && !fromUpstream) {
            const upstream &owner = *m_upstreams[flow.owner - 1];
            if (owner.alive && owner.incarnation == flow.ownerIncarnation
                && owner.open.contains(found->first))
                reportViolation("an open flow was reset although its upstream holds it");
        }
        flow.ended = true;
        return;
    }
    if (head.opens && !flow.established) {
        flow.established = true;
        flow.offer = head.sequence;
        sendData(found->first);
        return;
    }
    if (head.payloadSize > 0 && fromUpstream && machine != 0)
        ++m_counts.answers;
}

std::size_t flow_simulation::entryOf(std::uint16_t port) const
{
    std::vector<std::size_t> rotation;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i]->inRotation)
            rotation.push_back(i);
    }
    return rotation[port % rotation.size()];
}

void flow_simulation::route(const packet_head &head)
{
    if (chance(lossPercent))
        return;
    const std::size_t index = entryOf(head.source.port);
    schedule(networkDelay(), [this, index, head] {
        m_entries[index]->balancer->receivePacket(fake_codec::encode(head), 0, m_now);
        tickEntry(index);
    });
}

void flow_simulation::openFlow()
{
    const std::uint16_t port = m_nextPort++;
    client_flow &flow = m_flows[port];
    flow.service = chance(70) ? ordersAddress : catalogAddress;
    sendOpening(port, 0);
    schedule(200ms, [this, port] { sendOpening(port, 1); });
    schedule(600ms, [this, port] { sendOpening(port, 2); });
    schedule(1400ms, [this, port] {
        if (!m_flows[port].established)
            m_flows[port].ended = true;
    });
}

void flow_simulation::sendOpening(std::uint16_t port, std::uint32_t copy)
{
    const client_flow &flow = m_flows[port];
    if (flow.established || flow.ended)
        return;
    packet_head head;
    head.source = { clientAddress, port };
    head.destination = flow.service;
    head.opens = true;
    head.acknowledgement = copy;
    route(head);
}

void flow_simulation::sendData(std::uint16_t port)
{
    client_flow &flow = m_flows[port];
    if (flow.ended)
        return;
    packet_head head;
    head.source = { clientAddress, port };
    head.destination = flow.service;
    head.acknowledges = true;
    head.acknowledgement = flow.offer;
    head.sequence = flow.sequence;
    head.payloadSize = 50;
    flow.sequence += 50;
    route(head);
    schedule(randomDuration(50'000, 400'000), [this, port] { sendData(port); });
}

void flow_simulation::noteDisturbance()
{
    m_lastDisturbance = m_now;
}

void flow_simulation::injectFault()
{
    ++m_counts.faults;
    const std::size_t index = m_random.below(entryCount);
    upstream &item = *m_upstreams[m_random.below(upstreamCount)];
    switch (m_random.below(11)) {
    case 0: // an entry instance leaves the rotation or joins it
    case 1: {
        ++m_counts.rehashes;
        entry &chosen = *m_entries[index];
        const auto others = std::ranges::count_if(
                m_entries, [](const auto &other) { return other->inRotation; });
        chosen.inRotation = !chosen.inRotation || others == 1;
        break;
    }
    case 2:
        noteDisturbance();
        killEntry(index);
        break;
    case 3:
        noteDisturbance();
        killAgent(item);
        break;
    case 4: // all processes are killed
        noteDisturbance();
        for (std::size_t i = 0; i < entryCount; ++i)
            killEntry(i);
        for (const auto &each : m_upstreams)
            killAgent(*each);
        break;
    case 5: // the upstream crashes and another one starts at its address
        noteDisturbance();
        item.alive = false;
        ++m_revision;
        schedule(randomDuration(500'000, 4'000'000), [this, &item] { startUpstream(item); });
        break;
    case 6:
        if (!item.draining && item.alive) {
            item.draining = true;
            item.drainSince = m_now;
            ++m_revision;
            schedule(8s, [this, &item] {
                noteDisturbance();
                startUpstream(item);
            });
        }
        break;
    case 9: { // an upstream is added, and the rotation changes before all instances have its entry
        const auto absent = std::ranges::find_if(
                m_upstreams, [](const auto &each) { return each->incarnation == 0; });
        if (absent == m_upstreams.end())
            break;
        startUpstream(**absent);
        schedule(randomDuration(100'000, 1'500'000), [this, index] {
            m_entries[index]->inRotation = !m_entries[index]->inRotation;
            m_entries.front()->inRotation = true;
        });
        break;
    }
    case 10: // configurations in quick succession
        for (int i = 1; i < 10; ++i)
            schedule(i * 50ms, [this] { ++m_configuration.version; });
        break;
    case 7: // an outage of the store begins or ends
        m_storeUp = !m_storeUp;
        m_storeChangedAt = m_now;
        break;
    default: // the address serves another service from now on
        noteDisturbance();
        item.alive = false;
        ++m_revision;
        schedule(2s, [this, &item] {
            item.service = item.service == "orders" && item.machine != 1 ? "catalog" : "orders";
            startUpstream(item);
            startAgent(item);
        });
        break;
    }
    ++m_configuration.version;
}

void flow_simulation::check()
{
    for (const auto &[port, flow] : m_flows) {
        if (flow.ended || flow.owner == 0)
            continue;
        const upstream &owner = *m_upstreams[flow.owner - 1];
        if (!owner.alive || owner.incarnation != flow.ownerIncarnation)
            continue;
        // Entry instances without a view cannot search.
        const bool viewMayBeMissing = !m_storeUp || m_now - m_storeChangedAt < 3s;
        // A read of a slow store takes up to 1.5 s, and the first packet after it may be lost or
        // held.
        const base::time_point killedAt =
                std::max(m_entries[entryOf(port)]->killedAt, owner.agentKilledAt);
        const bool killed = m_storeSpeed == store_speed::slowAtTimes
                && flow.ownerReachedAt < killedAt && m_now < killedAt + killExcuse;
        if (!viewMayBeMissing && !killed
            && m_now - std::max(flow.ownerReachedAt, m_lastDisturbance) > misroutingLimit)
            reportViolation("packets of open flow " + std::to_string(port)
                            + " do not reach its upstream");
    }
}

std::string flow_simulation::run(std::chrono::seconds length)
{
    const base::time_point end = m_now + length;
    const std::function<void()> traffic = [&] {
        openFlow();
        schedule(randomDuration(20'000, 100'000), traffic);
    };
    const std::function<void()> faults = [&] {
        injectFault();
        schedule(randomDuration(200'000, 2'000'000), faults);
    };
    const std::function<void()> checks = [&] {
        check();
        schedule(100ms, checks);
    };
    const std::function<void()> ticks = [&] {
        for (std::size_t i = 0; i < entryCount; ++i)
            tickEntry(i);
        for (const auto &item : m_upstreams)
            tickAgent(*item);
        schedule(tickInterval, ticks);
    };
    schedule(3s, traffic);
    schedule(4s, faults);
    schedule(1s, checks);
    schedule(0s, ticks);
    while (m_now < end && m_violation.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.time;
        next.action();
    }
    for (const auto &item : m_entries)
        m_counts.waitsAvoided += item->balancer->counters().waitsAvoided;
    return m_violation;
}

} // namespace oriolehold::flow
