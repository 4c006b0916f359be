#include "deployment_parts.h"

#include <algorithm>

// Clients and the router of deployment_simulation.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;

constexpr std::array<base::duration, 3> openingTimes { 0ms, 200ms, 600ms };
constexpr base::duration openingTimeout = 1400ms;
// Of unanswered packets. The interval doubles.
constexpr base::duration firstRetransmit = 200ms;
constexpr base::duration longestRetransmit = 1600ms;
constexpr int mostRetransmits = 8;
constexpr std::uint64_t largestOpening = 1'000'000'000; // sequence number of an opening packet
constexpr std::uint16_t fullPacketSize = 60;            // other than lastPacketSize
constexpr unsigned uploadPercent = 10;                  // of requests; they have several packets
constexpr base::duration checkInterval = 500ms;
constexpr int missesUntilOut = 2;
// A readiness check of a process that stalls for longer is missed.
constexpr base::duration checkTimeout = 200ms;

std::uint64_t mix(std::uint64_t value)
{
    return base::seeded_random(value).next();
}

} // namespace

std::uint16_t deployment_simulation::choosePort()
{
    if (m_habits == habits::plain || m_closedPorts.empty() || m_habitRandom.below(2) == 0)
        return m_nextPort++;
    std::swap(m_closedPorts[m_habitRandom.below(m_closedPorts.size())], m_closedPorts.back());
    const std::uint16_t port = m_closedPorts.back();
    m_closedPorts.pop_back();
    ++m_counts.portsUsedAgain;
    return port;
}

void deployment_simulation::openFlow()
{
    const std::uint16_t port = choosePort();
    client_flow &flow = m_flows[port];
    client_flow next;
    next.use = flow.use + 1;
    next.generation = flow.generation + 1;
    next.begunAt = m_now;
    if (m_habits != habits::plain)
        next.openingSequence = static_cast<std::uint32_t>(m_habitRandom.below(largestOpening));
    next.sequence = next.openingSequence + 1;
    flow = std::move(next);
    flow.service = m_twoServices && chance(25) ? catalogEndpoint : ordersEndpoint;
    flow.zone = randomIndex(2);
    switch (m_random.below(4)) {
    case 0: // one request
        break;
    case 1: // a feed with idle times
        flow.requestsLeft = static_cast<int>(3 + randomIndex(6));
        flow.longestPause = 6s;
        break;
    default:
        flow.requestsLeft = static_cast<int>(3 + randomIndex(15));
        flow.longestPause = 500ms;
        break;
    }
    for (std::size_t i = 0; i < openingTimes.size(); ++i)
        schedule(openingTimes[i], [this, port, use = flow.use, i] {
            sendOpening(port, use, static_cast<std::uint32_t>(i));
        });
    schedule(openingTimeout, [this, port, use = flow.use] {
        client_flow &opened = m_flows[port];
        if (opened.use == use)
            opened.ended = opened.ended || !opened.established;
    });
}

void deployment_simulation::sendOpening(std::uint16_t port, std::uint32_t use, std::uint32_t copy)
{
    const client_flow &flow = m_flows[port];
    if (flow.use != use || flow.established || flow.ended)
        return;
    packet_head head;
    head.source = { clientMachine, port };
    head.destination = flow.service;
    head.opens = true;
    head.sequence = flow.openingSequence;
    head.acknowledgement = copy;
    route(head);
}

packet_head deployment_simulation::clientPacket(std::uint16_t port) const
{
    const client_flow &flow = m_flows.at(port);
    packet_head head;
    head.source = { clientMachine, port };
    head.destination = flow.service;
    head.acknowledges = true;
    head.acknowledgement = flow.offer;
    head.sequence = flow.sequence;
    return head;
}

void deployment_simulation::sendRequest(std::uint16_t port)
{
    client_flow &flow = m_flows[port];
    if (flow.ended)
        return;
    const std::size_t packets = chance(uploadPercent) ? 2 + randomIndex(6) : 1;
    for (std::size_t i = 1; i <= packets; ++i) {
        packet_head head = clientPacket(port);
        head.payloadSize = i == packets ? lastPacketSize : fullPacketSize;
        flow.sequence += head.payloadSize;
        flow.unanswered.push_back(head);
    }
    transmit(port);
}

void deployment_simulation::sendFinish(std::uint16_t port)
{
    client_flow &flow = m_flows[port];
    flow.finishing = true;
    packet_head head = clientPacket(port);
    head.finishes = true;
    flow.unanswered.push_back(head);
    transmit(port);
}

void deployment_simulation::transmit(std::uint16_t port)
{
    retransmit(port, ++m_flows[port].generation, 0);
}

void deployment_simulation::retransmit(std::uint16_t port, std::uint32_t generation, int tries)
{
    client_flow &flow = m_flows[port];
    if (flow.ended || flow.generation != generation || flow.unanswered.empty())
        return;
    if (tries > mostRetransmits) {
        flow.ended = true;
        return;
    }
    std::ranges::for_each(flow.unanswered, [this](const packet_head &head) { route(head); });
    const base::duration wait = std::min(firstRetransmit * (1 << tries), longestRetransmit);
    schedule(wait, [this, port, generation, tries] { retransmit(port, generation, tries + 1); });
}

void deployment_simulation::receiveAtClient(const packet_head &head)
{
    const std::uint16_t port = head.destination.port;
    const auto found = m_flows.find(port);
    if (found == m_flows.end() || found->second.ended)
        return;
    client_flow &flow = found->second;
    if (head.resets) {
        ++m_counts.resets;
        flow.ended = true;
    } else if (head.opens) {
        const bool isOfFormerFlow = head.acknowledgement != flow.openingSequence + 1;
        if (flow.established || isOfFormerFlow)
            return;
        flow.established = true;
        flow.offer = head.sequence;
        sendRequest(port);
    } else if (head.finishes) {
        if (!flow.finishing)
            return;
        ++m_counts.flowsEnded;
        flow.ended = true;
        m_closedPorts.push_back(port);
    } else if (head.payloadSize > 0 && !flow.unanswered.empty() && !flow.finishing
               && head.acknowledgement == flow.sequence) {
        continueFlow(port);
    }
}

void deployment_simulation::continueFlow(std::uint16_t port)
{
    client_flow &flow = m_flows[port];
    ++m_counts.answers;
    flow.unanswered.clear();
    // Every second packet is acknowledged at once, without data.
    if (++flow.answers % 2 == 0)
        route(clientPacket(port));
    if (--flow.requestsLeft > 0)
        schedule(randomDuration(20ms, flow.longestPause), [this, port] { sendRequest(port); });
    else
        schedule(randomDuration(1ms, 20ms), [this, port] { sendFinish(port); });
}

std::vector<std::size_t> deployment_simulation::rotationOf(std::size_t zone) const
{
    std::vector<std::size_t> all;
    std::vector<std::size_t> inRotation;
    std::vector<std::size_t> elsewhere;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const entry &item = *m_entries[i];
        if (item.zone == zone)
            all.push_back(i);
        if (item.inRotation)
            (item.zone == zone ? inRotation : elsewhere).push_back(i);
    }
    if (inRotation.empty() && !elsewhere.empty())
        return elsewhere;
    return inRotation.size() * 2 < all.size() ? all : inRotation;
}

std::size_t deployment_simulation::chooseEntry(const std::vector<std::size_t> &rotation,
                                               std::uint16_t port) const
{
    if (!m_steadyHash)
        return rotation[mix(port) % rotation.size()];
    return *std::ranges::max_element(
            rotation, {}, [port](std::size_t index) { return mix(port * 1000ULL + index); });
}

void deployment_simulation::route(const packet_head &head)
{
    const client_flow &flow = m_flows.at(head.source.port);
    const std::size_t index = chooseEntry(rotationOf(flow.zone), head.source.port);
    entry &item = *m_entries[index];
    if (item.lossyUntil > m_now && chance(item.lossPercent))
        return;
    schedule(networkDelay(), [this, &item, head] {
        deliver(item, socket::packets, [this, &item, head] {
            item.balancer->receivePacket(fake_codec::encode(head), 0, m_now);
        });
    });
}

void deployment_simulation::setInRotation(entry &item, bool value)
{
    m_counts.rehashes += item.inRotation != value ? 1 : 0;
    item.inRotation = value;
}

void deployment_simulation::checkReadiness(std::size_t index)
{
    entry &item = *m_entries[index];
    const bool ready = item.running && !item.stopping && item.balancer->ready(m_now)
            && item.stalledUntil - m_now < checkTimeout;
    item.missedChecks = ready ? 0 : item.missedChecks + 1;
    if (ready || item.missedChecks >= missesUntilOut)
        setInRotation(item, ready && !item.heldOut);
    schedule(checkInterval, [this, index] { checkReadiness(index); });
}

} // namespace oriolehold::flow
