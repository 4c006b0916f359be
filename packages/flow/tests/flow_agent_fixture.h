#pragma once

#include "flow_fakes.h"
#include "test_values.h"

#include <CppUTest/TestHarness.h>

// An agent of the service "orders" between entry instances, clients and its upstream. Each port of
// the client has its own flow.

namespace oriolehold::flow {

using namespace std::chrono_literals;

inline constexpr base::endpoint entry { 50, 7000 };
inline constexpr base::endpoint otherEntry { 51, 7000 };

struct flow_agent_fixture : public Utest
{
    fake_codec codec;
    fake_document_codec documents;
    recording_agent_output output;
    recording_observer observer;
    flow_agent agent;

    explicit flow_agent_fixture(const agent_identity &identity = { 3, "orders" })
        : agent(identity, codec, documents, output, observer)
    { }

    static packet_head fromClient(instruction kind = instruction::deliver, std::uint16_t size = 0,
                                  std::uint32_t sequence = 100, std::uint16_t port = client.port)
    {
        packet_head head;
        head.source = { client.address, port };
        head.destination = ordersAddress;
        head.acknowledges = true;
        head.tag = { kind, serviceDigest("orders"), 1 };
        head.payloadSize = size;
        head.sequence = sequence;
        return head;
    }
    // copy is the number of earlier copies.
    static packet_head opening(std::uint16_t port = client.port, std::uint32_t copy = 0)
    {
        packet_head head = fromClient(instruction::deliver, 0, 100, port);
        head.opens = true;
        head.acknowledges = false;
        head.acknowledgement = copy;
        return head;
    }
    static packet_head fromUpstream(std::uint16_t size = 0, std::uint16_t port = client.port)
    {
        packet_head head;
        head.source = ordersAddress;
        head.destination = { client.address, port };
        head.acknowledges = true;
        head.payloadSize = size;
        return head;
    }

    void receive(const packet_head &head, std::int64_t at, const base::endpoint &from = entry)
    {
        agent.receiveFromEntry(from, fake_codec::encode(head), atMilliseconds(at));
    }
    void answer(const packet_head &head, std::int64_t at)
    {
        agent.receiveFromUpstream(fake_codec::encode(head), atMilliseconds(at));
    }
    // The upstream answers the opening packet of a flow.
    void accept(std::int64_t at, std::uint32_t sequence = 0, std::uint16_t port = client.port)
    {
        packet_head head = fromUpstream(0, port);
        head.opens = true;
        head.sequence = sequence;
        answer(head, at);
    }
    void answerRequest(std::uint16_t port, std::int64_t at)
    {
        answer(fromUpstream(500, port), at);
        tick(at);
    }
    // The upstream returns the last packet that it received.
    void returnLast(std::int64_t at)
    {
        packet_head head = output.toUpstream.back();
        head.returned = true;
        answer(head, at);
    }
    void tick(std::int64_t at) { agent.tick(atMilliseconds(at)); }
    // Calls tick() every 40 ms.
    void tickUntil(std::int64_t last)
    {
        for (std::int64_t at = 40; at <= last; at += 40)
            tick(at);
    }
    void sendHello(std::uint64_t bootId = 1, std::uint32_t slots = 2, std::int64_t at = 0)
    {
        agent.receiveMessage(entry.address, entry_hello { bootId, "zone-a", slots },
                             atMilliseconds(at));
    }
    void notify(const upstream_notice &notice, std::int64_t at)
    {
        agent.receiveMessage(entry.address, notice, atMilliseconds(at));
    }

    // Kinds of the packets that were returned to entry instances, oldest first.
    std::vector<instruction> returned() const
    {
        std::vector<instruction> kinds;
        for (const sent_packet &item : output.toEntries)
            kinds.push_back(item.head.tag.kind);
        return kinds;
    }
    bool onlyReturned(instruction kind) const { return returned() == std::vector { kind }; }
};

} // namespace oriolehold::flow
