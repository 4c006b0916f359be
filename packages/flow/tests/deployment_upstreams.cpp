#include "deployment_parts.h"

#include <algorithm>

// Upstreams of deployment_simulation.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;

// Between an agent and its upstream.
constexpr base::duration localDelay = 50us;
constexpr base::duration fastestService = 5ms;
constexpr base::duration slowestService = 20ms;
constexpr base::duration slowUpstreamService = 80ms;
constexpr unsigned slowUpstreamPercent = 8;
// Requests that an upstream queues for each slot before it refuses new flows.
constexpr std::size_t queueLimit = 4;
constexpr unsigned refusalPercent = 1; // of opening packets at any upstream

} // namespace

void deployment_simulation::startUpstream(upstream &item)
{
    item.number = m_nextId;
    item.born = std::max(unixMilliseconds(m_now), item.born + 1);
    item.id = "i-" + std::to_string(m_nextId++);
    item.alive = true;
    item.draining = false;
    item.meanServiceTime = chance(slowUpstreamPercent)
            ? slowUpstreamService
            : randomDuration(fastestService, slowestService);
    item.coldOpenings.clear();
    item.offered.clear();
    item.flows.clear();
    item.waiting.clear();
    item.serving = 0;
    item.busyUntil = {};
    item.lateUntil = {};
    whenStoreIsUp([this, &item, number = item.number] {
        if (item.alive && item.number == number)
            publish(item);
    });
}

void deployment_simulation::crashUpstream(upstream &item, base::duration lapse)
{
    item.alive = false;
    schedule(lapse, [this, id = item.id] { whenStoreIsUp([this, id] { withdraw(id); }); });
}

void deployment_simulation::drainUpstream(upstream &item, base::duration replacedAfter)
{
    if (!item.alive || item.draining || !m_storeUp)
        return;
    item.draining = true;
    item.drainingSince = m_now;
    publish(item);
    schedule(replacedAfter, [this, &item, number = item.number] {
        if (!item.alive || item.number != number)
            return;
        crashUpstream(item, randomDuration(0ms, 500ms));
        schedule(randomDuration(200ms, 2s), [this, &item, number] {
            if (!item.alive && item.number == number)
                startUpstream(item);
        });
    });
}

void deployment_simulation::toUpstream(upstream &item, const packet_head &head)
{
    if (!item.alive)
        return;
    if (head.isOpening()) {
        receiveOpening(item, head);
        return;
    }
    const std::uint16_t port = head.source.port;
    const auto offered = item.offered.find(port);
    const bool opens =
            offered != item.offered.end() && head.acknowledgement == offered->second.sequence;
    if (opens && !item.flows.contains(port))
        openAt(item, head);
    noteProcessed(item, head, item.senders[port]);
    const auto found = item.flows.find(port);
    if (found == item.flows.end())
        returnPacket(item, head);
    else
        receiveData(item, found->second, head);
}

void deployment_simulation::returnPacket(upstream &item, packet_head head)
{
    head.returned = true;
    const bool late = m_now < item.lateUntil;
    sendFromUpstream(item, head,
                     late ? randomDuration(localDelay, item.longestReturn) : localDelay);
}

void deployment_simulation::receiveOpening(upstream &item, const packet_head &head)
{
    const std::uint16_t port = head.source.port;
    const std::size_t sender = item.senders[port];
    checkNewFlow(item, head, sender);
    checkColdLimit(item);
    noteProcessed(item, head, sender);
    if (chance(refusalPercent) || item.waiting.size() >= item.slots * queueLimit) {
        returnPacket(item, head);
        return;
    }
    offer &answered = item.offered[port];
    if (answered.sequence != 0 && answered.clientSequence != head.sequence) {
        item.flows.erase(port); // a former flow from the same port
        answered = {};
    }
    if (answered.sequence == 0)
        answered = { head.sequence, static_cast<std::uint32_t>(m_random.below(1'000'000'000) + 1) };
    packet_head reply;
    reply.source = head.destination;
    reply.destination = head.source;
    reply.opens = true;
    reply.acknowledges = true;
    reply.sequence = answered.sequence;
    reply.acknowledgement = answered.clientSequence + 1;
    sendFromUpstream(item, reply, localDelay);
}

void deployment_simulation::openAt(upstream &item, const packet_head &head)
{
    const std::uint16_t port = head.source.port;
    upstream_flow &opened = item.flows[port];
    opened.expected = opened.answered = item.offered[port].clientSequence + 1;
    client_flow &flow = m_flows.at(port);
    flow.owner = item.machine;
    flow.ownerNumber = item.number;
    ++m_counts.flowsOpened;
}

void deployment_simulation::receiveData(upstream &item, upstream_flow &flow,
                                        const packet_head &head)
{
    const std::uint16_t port = head.source.port;
    if (head.finishes) {
        if (head.sequence != flow.expected)
            return; // of another flow from the same port
        flow.closed = true;
        packet_head reply;
        reply.source = head.destination;
        reply.destination = head.source;
        reply.acknowledges = true;
        reply.finishes = true;
        sendFromUpstream(item, reply, localDelay);
        return;
    }
    if (head.payloadSize == 0 || flow.closed)
        return;
    if (head.sequence < flow.expected) {
        if (flow.answered == flow.expected)
            sendAnswer(item, port, flow.answered);
        return;
    }
    flow.pending[head.sequence] = head.payloadSize;
    std::uint32_t end = flow.expected;
    for (auto next = flow.pending.find(end); next != flow.pending.end();
         next = flow.pending.find(end)) {
        end += next->second;
        if (next->second != lastPacketSize)
            continue;
        flow.expected = end;
        flow.pending.clear();
        item.waiting.push_back({ port, end });
        beginService(item);
        return;
    }
}

base::duration deployment_simulation::serviceTime(const upstream &item)
{
    const unsigned factor = m_now < item.busyUntil ? item.busyFactor : 1;
    return randomDuration(item.meanServiceTime / 2, item.meanServiceTime * 3 / 2) * factor;
}

void deployment_simulation::beginService(upstream &item)
{
    if (item.serving >= item.slots || item.waiting.empty())
        return;
    const request next = item.waiting.front();
    item.waiting.pop_front();
    ++item.serving;
    schedule(serviceTime(item), [this, &item, number = item.number, next] {
        if (!item.alive || item.number != number)
            return;
        --item.serving;
        if (const auto found = item.flows.find(next.port); found != item.flows.end()) {
            found->second.answered = next.end;
            sendAnswer(item, next.port, next.end);
        }
        beginService(item);
    });
}

void deployment_simulation::sendAnswer(upstream &item, std::uint16_t port, std::uint32_t end)
{
    const auto &flow = m_flows.at(port);
    packet_head reply;
    reply.source = flow.service;
    reply.destination = { clientMachine, port };
    reply.acknowledges = true;
    reply.acknowledgement = end;
    reply.payloadSize = 100;
    sendFromUpstream(item, reply, localDelay);
}

void deployment_simulation::sendFromUpstream(upstream &item, const packet_head &head,
                                             base::duration delay)
{
    schedule(delay, [this, &item, number = item.number, head] {
        if (!item.alive || item.number != number)
            return;
        deliver(item, socket::upstream, [this, &item, head] {
            item.agent->receiveFromUpstream(fake_codec::encode(head), m_now);
        });
    });
}

} // namespace oriolehold::flow
