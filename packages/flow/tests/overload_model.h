#pragma once

#include "oriolehold/flow/flow_agent.h"

#include "event_queue.h"
#include "test_values.h"

#include <cmath>
#include <deque>
#include <random>

// One agent with its upstream and clients, in virtual time and without a network. A refused opening
// packet becomes a reset, as from an entry instance without another upstream.

namespace oriolehold::flow {

struct overload_plan
{
    enum class leave : std::uint8_t { reset, finish, silent };

    double load = 1.0;         // in the burst, relative to the capacity
    double longShare = 0.0;    // of the requests, on flows that stay open for further requests
    std::size_t openAhead = 0; // flows that clients open before the burst, for their requests in it
    double urgentLoad = 0.0;   // part of the load, relative to the capacity, of priority 0
    bool logNormal = false;    // work, else exponential
    leave atDeadline = leave::reset;
    unsigned seed = 1;
    agent_identity identity { 3, "orders" };
};

// Counts of the requests that began in one phase.
struct phase_result
{
    std::uint64_t arrivals = 0;
    std::uint64_t inTime = 0; // answered within the objective
    std::uint64_t urgent = 0;
    std::uint64_t urgentInTime = 0;
    std::uint64_t tries = 0;
    std::uint64_t deliveredTries = 0; // whose data reached the upstream
    std::uint64_t rejected = 0;       // answers 503
    std::uint64_t expired = 0;        // requests that ended at their deadline
};

class overload_model final : private agent_output
{
public:
    static constexpr std::uint32_t slots = 2;
    static constexpr std::size_t queueLimit = 8;
    static constexpr double meanWork = 23.6; // milliseconds
    static constexpr double capacity = slots * 1000.0 / meanWork;
    static constexpr std::int64_t objective = 250;
    static constexpr std::int64_t deadline = 1500;
    static constexpr int maxTries = 3;
    // Milliseconds. Before and after the burst the load is usualLoad.
    static constexpr double burstStart = 4000;
    static constexpr double burstEnd = 12'000;
    static constexpr double recovered = 13'000;
    static constexpr double end = 16'000;
    static constexpr double usualLoad = 0.33;

    explicit overload_model(const overload_plan &plan)
        : m_plan(plan), m_agent(plan.identity, m_codec, m_documents, *this, m_observer),
          m_random(plan.seed)
    { }

    void run()
    {
        const auto hello = [this] {
            m_agent.receiveMessage(entry.address, entry_hello { 1, "zone-a", slots }, now());
            tick();
        };
        hello();
        m_events.repeat(milliseconds(500), hello);
        for (std::size_t i = 0; i < m_plan.openAhead; ++i) {
            m_requests.push_back({ .done = true, .isLong = true });
            after(1.0 + static_cast<double>(2 * i), [this, i] { openFlow(i); });
        }
        arrive();
        m_events.runUntil(atMilliseconds(0) + milliseconds(end + deadline));
    }
    const phase_result &before() const { return m_phases[0]; }
    const phase_result &burst() const { return m_phases[1]; }
    // Of the requests that began at least 1 s after the burst.
    const phase_result &after() const { return m_phases[3]; }
    // Requests served within their objective in the burst, relative to the smaller of capacity and
    // load.
    double goodput() const
    {
        const double seconds = (burstEnd - burstStart) / 1000.0;
        return static_cast<double>(burst().inTime)
                / (seconds * capacity * std::min(1.0, m_plan.load));
    }
    const agent_counters &counters() const { return m_agent.counters(); }

private:
    static constexpr base::endpoint entry { 50, 7000 };
    static constexpr double delay = 0.5;       // milliseconds between client and agent
    static constexpr double retransmit = 200;  // milliseconds until the first copy
    static constexpr std::uint16_t size = 200; // bytes of a request
    // Sequence numbers of answers.
    static constexpr std::uint32_t served = 200;
    static constexpr std::uint32_t unavailable = 503;

    struct client_request
    {
        base::time_point begin {};
        phase_result *phase = nullptr;
        int tries = 0;
        bool done = false;
        bool isLong = false;
        std::uint8_t priority = 1;
        flow_key flow {};
    };
    struct client_flow
    {
        std::size_t request = 0;
        std::uint32_t sequence = 100; // of the next data
        bool open = false;
        bool busy = true;
    };
    struct upstream_flow
    {
        std::uint32_t received = 0; // end of the data
        bool gone = false;          // reset by the client
        bool finished = false;      // by the client
    };

    static base::duration milliseconds(double value)
    {
        return std::chrono::duration_cast<base::duration>(
                std::chrono::duration<double, std::milli>(value));
    }
    static packet_head acknowledging(std::uint32_t sequence, std::uint16_t payloadSize = 0)
    {
        packet_head head;
        head.acknowledges = true;
        head.sequence = sequence;
        head.payloadSize = payloadSize;
        return head;
    }
    base::time_point now() const { return m_events.now(); }
    void after(double delayed, std::function<void()> action)
    {
        m_events.after(milliseconds(delayed), std::move(action));
    }
    void tick()
    {
        const base::time_point wakeAt = now() + m_agent.tick(now());
        if (m_wakeAt > now() && m_wakeAt <= wakeAt)
            return;
        m_wakeAt = wakeAt;
        m_events.at(wakeAt, [this, wakeAt] {
            if (m_wakeAt == wakeAt)
                tick();
        });
    }
    double work()
    {
        if (!m_plan.logNormal)
            return std::exponential_distribution<double>(1.0 / meanWork)(m_random);
        return std::lognormal_distribution<double>(std::log(meanWork) - 0.5, 1.0)(m_random);
    }
    void arrive()
    {
        const double elapsed =
                std::chrono::duration<double, std::milli>(now() - atMilliseconds(0)).count();
        if (elapsed >= end)
            return;
        const bool isBurst = elapsed >= burstStart && elapsed < burstEnd;
        const double load = isBurst ? m_plan.load : usualLoad;
        std::uniform_real_distribution<double> uniform;
        client_request request;
        request.begin = now();
        request.phase = &m_phases[elapsed < burstStart          ? 0
                                          : isBurst             ? 1
                                          : elapsed < recovered ? 2
                                                                : 3];
        request.isLong = uniform(m_random) < m_plan.longShare;
        request.priority = uniform(m_random) < m_plan.urgentLoad / m_plan.load ? 0 : 1;
        ++request.phase->arrivals;
        request.phase->urgent += request.priority == 0 ? 1 : 0;
        m_requests.push_back(request);
        const std::size_t index = m_requests.size() - 1;
        after(deadline, [this, index] { leave(index); });
        beginTry(index);
        after(std::exponential_distribution<double>(capacity * load / 1000.0)(m_random),
              [this] { arrive(); });
    }
    void sendFromClient(const flow_key &key, packet_head head)
    {
        head.source = key.client;
        head.destination = key.service;
        head.tag = { instruction::deliver, serviceDigest("orders"),
                     m_requests[m_flows[key].request].priority,
                     std::chrono::milliseconds { objective },
                     std::chrono::milliseconds { deadline } };
        after(delay, [this, packet = fake_codec::encode(head)] {
            m_agent.receiveFromEntry(entry, packet, now());
            tick();
        });
    }
    void beginTry(std::size_t index)
    {
        client_request &request = m_requests[index];
        ++request.tries;
        ++request.phase->tries;
        if (request.isLong && !m_idle.empty()) {
            request.flow = m_idle.back();
            m_idle.pop_back();
            client_flow &flow = m_flows[request.flow];
            flow.request = index;
            flow.busy = true;
            sendData(index, request.flow, flow.sequence, retransmit);
            return;
        }
        openFlow(index);
    }
    void openFlow(std::size_t index)
    {
        client_request &request = m_requests[index];
        ++m_lastFlow;
        request.flow = { { 0x64400000 + m_lastFlow / 60'000,
                           static_cast<std::uint16_t>(1 + m_lastFlow % 60'000) },
                         ordersAddress };
        m_flows[request.flow].request = index;
        sendOpening(request.flow, 0);
    }
    void sendOpening(const flow_key &key, std::uint32_t copy)
    {
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || found->second.open || copy == 3)
            return;
        packet_head head;
        head.opens = true;
        head.sequence = 99;
        head.acknowledgement = copy;
        sendFromClient(key, head);
        after(retransmit * (1 << copy), [this, key, copy] { sendOpening(key, copy + 1); });
    }
    void sendData(std::size_t index, const flow_key &key, std::uint32_t sequence, double repeat)
    {
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || !found->second.busy || found->second.request != index
            || found->second.sequence != sequence)
            return;
        sendFromClient(key, acknowledging(sequence, size));
        after(repeat,
              [this, index, key, sequence, repeat] { sendData(index, key, sequence, 2 * repeat); });
    }
    void leave(std::size_t index)
    {
        client_request &request = m_requests[index];
        if (request.done)
            return;
        request.done = true;
        ++request.phase->expired;
        packet_head head = acknowledging(m_flows[request.flow].sequence + size);
        head.resets = m_plan.atDeadline == overload_plan::leave::reset;
        head.finishes = m_plan.atDeadline == overload_plan::leave::finish;
        if (head.resets || head.finishes)
            sendFromClient(request.flow, head);
        m_flows.erase(request.flow);
    }
    void endTry(const flow_key &key, bool isServed)
    {
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || !found->second.busy)
            return;
        const std::size_t index = found->second.request;
        client_request &request = m_requests[index];
        if (found->second.open && request.isLong) {
            found->second.busy = false;
            found->second.sequence += size;
            m_idle.push_back(key);
        } else {
            if (found->second.open) {
                packet_head head = acknowledging(found->second.sequence + size);
                head.finishes = true;
                sendFromClient(key, head);
            }
            m_flows.erase(found);
        }
        if (request.done) // a flow that was opened ahead
            return;
        if (!isServed && request.tries < maxTries) {
            beginTry(index);
            return;
        }
        request.done = true;
        if (isServed && now() - request.begin <= std::chrono::milliseconds { objective }) {
            ++request.phase->inTime;
            request.phase->urgentInTime += request.priority == 0 ? 1 : 0;
        }
    }
    void sendToClient(std::uint32_t, base::byte_view packet) override
    {
        const packet_head head = *m_codec.decode(packet);
        after(delay, [this, head] {
            const flow_key key = keyOfUpstreamPacket(head);
            const auto found = m_flows.find(key);
            if (found == m_flows.end())
                return;
            if (head.opens && !found->second.open) {
                found->second.open = true;
                if (m_requests[found->second.request].done) {
                    found->second.busy = false;
                    m_idle.push_back(key);
                    return;
                }
                sendData(found->second.request, key, found->second.sequence, retransmit);
            } else if (head.payloadSize > 0) {
                endTry(key, head.sequence == served);
            }
        });
    }
    void sendToEntry(const base::endpoint &, base::byte_view packet) override
    {
        const packet_head head = *m_codec.decode(packet);
        after(2 * delay, [this, key = keyOfClientPacket(head)] { endTry(key, false); });
    }
    void sendToUpstream(base::byte_view packet) override
    {
        const packet_head head = *m_codec.decode(packet);
        const flow_key key = keyOfClientPacket(head);
        upstream_flow &flow = m_upstreamFlows[key];
        flow.gone = flow.gone || head.resets;
        flow.finished = flow.finished || head.finishes;
        packet_head reply = acknowledging(0);
        reply.source = head.destination;
        reply.destination = head.source;
        reply.opens = head.opens;
        const std::uint32_t dataEnd = head.sequence + head.payloadSize;
        if (head.opens || (head.payloadSize > 0 && dataEnd <= flow.received)) {
            after(0.1, [this, reply] { sendFromUpstream(reply); });
        } else if (head.payloadSize > 0) {
            flow.received = dataEnd;
            if (const auto known = m_flows.find(key); known != m_flows.end())
                ++m_requests[known->second.request].phase->deliveredTries;
            if (m_busySlots < slots)
                serve(key);
            else if (m_queue.size() < queueLimit)
                m_queue.push_back(key);
            else
                after(0.1, [this, key] { answer(key, unavailable); });
        }
    }
    void serve(const flow_key &key)
    {
        ++m_busySlots;
        // The upstream does not notice that a client has left.
        after(work(), [this, key] {
            --m_busySlots;
            if (!m_queue.empty()) {
                const flow_key next = m_queue.front();
                m_queue.pop_front();
                serve(next);
            }
            answer(key, served);
        });
    }
    void answer(const flow_key &key, std::uint32_t status)
    {
        const upstream_flow &flow = m_upstreamFlows[key];
        if (flow.gone)
            return;
        if (const auto known = m_flows.find(key); known != m_flows.end() && status == unavailable)
            ++m_requests[known->second.request].phase->rejected;
        packet_head reply = acknowledging(status, 500);
        reply.source = key.service;
        reply.destination = key.client;
        reply.finishes = flow.finished;
        sendFromUpstream(reply);
    }
    void sendFromUpstream(const packet_head &head)
    {
        m_agent.receiveFromUpstream(fake_codec::encode(head), now());
        tick();
    }
    void sendToAgent(std::uint32_t, base::byte_view) override { }
    void sendMessage(std::uint32_t, const peer_message &) override { }

    const overload_plan m_plan;
    fake_codec m_codec;
    fake_document_codec m_documents;
    recording_observer m_observer;
    flow_agent m_agent;
    std::mt19937 m_random;
    event_queue m_events;
    base::time_point m_wakeAt {};
    std::array<phase_result, 4> m_phases;
    std::vector<client_request> m_requests;
    boost::unordered_flat_map<flow_key, client_flow, flow_key_hash> m_flows;
    boost::unordered_flat_map<flow_key, upstream_flow, flow_key_hash> m_upstreamFlows;
    std::vector<flow_key> m_idle; // open flows without a request
    std::deque<flow_key> m_queue; // of the upstream
    std::uint32_t m_busySlots = 0;
    std::uint32_t m_lastFlow = 0;
};

} // namespace oriolehold::flow
