#pragma once

#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/routing_view.h"

#include <variant>
#include <vector>

// Messages between the processes of the flow path. They are datagrams; each may be lost.

namespace oriolehold::flow {

// What a process holds of the store's content, and how old it is. Entry instances tell a few agents
// after a read; those tell all entry instances.
struct view_summary
{
    std::uint64_t configurationVersion = 0;
    std::uint64_t upstreamRevision = 0;
    std::uint64_t upstreamDigest = 0; // over the list without its revision
    base::duration age {};            // time since the read was begun

    bool operator==(const view_summary &) const = default;
};

// Asks for documents; any process may ask any other.
struct view_request
{
    bool configuration = false;
    bool upstreams = false;

    bool operator==(const view_request &) const = default;
};

enum class document_kind : std::uint8_t { configuration, upstreams };

// One part of an encoded document.
struct view_page
{
    document_kind kind = document_kind::configuration;
    std::uint64_t id = 0; // version of a configuration, digest of a list of upstreams
    base::duration age {};
    std::uint16_t index = 0;
    std::uint16_t count = 0;
    base::byte_vector bytes;

    bool operator==(const view_page &) const = default;
};

// From an entry instance to agents, periodically.
struct entry_hello
{
    std::uint64_t bootId = 0; // random number of the process; a new one asks for all flows
    std::string zone;
    std::uint32_t slots = 0; // of the upstream beside the agent, as published

    bool operator==(const entry_hello &) const = default;
};

// From an agent to entry instances, periodically.
struct load_report
{
    std::uint64_t bootId = 0;      // random number of the process
    std::uint32_t running = 0;     // requests at the upstream
    std::uint32_t meanRunning = 0; // thousandths, mean over the last second
    std::uint32_t openFlows = 0;
    base::duration meanServiceTime {}; // request to first part of the answer
    bool responsive = true;            // the upstream answers opening packets

    bool operator==(const load_report &) const = default;
};

// From an agent to entry instances: these flows are at the upstream beside the agent.
struct flow_claim
{
    std::vector<flow_key> flows;

    bool operator==(const flow_claim &) const = default;
};

// From an agent to the entry instance that asked: the upstream does not hold the flow.
struct flow_denial
{
    flow_key flow;
    std::uint32_t serviceDigest = 0; // of the agent's service
    // The upstream was not asked, because the probe was for another service.
    bool misdirected = false;

    bool operator==(const flow_denial &) const = default;
};

using peer_message = std::variant<entry_hello, load_report, flow_claim, flow_denial, view_summary,
                                  view_request, view_page>;

// Sends messages to other processes. The machine is an IPv4 address.
class message_output
{
public:
    virtual ~message_output() = default;
    virtual void sendMessage(std::uint32_t machine, const peer_message &message) = 0;
};

// Most flows in one claim; keeps the datagram below 1,300 bytes.
inline constexpr std::size_t maxClaimedFlows = 100;

} // namespace oriolehold::flow
