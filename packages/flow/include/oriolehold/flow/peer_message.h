#pragma once

#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/routing_view.h"

#include <array>
#include <variant>
#include <vector>

// Messages between the processes of the flow path. They are sent as datagrams, so each may be lost.

namespace oriolehold::flow {

// Versions and age of the store content that a process has. After a read an entry instance sends it
// to a few agents; those send it to all entry instances.
struct view_summary
{
    std::uint64_t configurationVersion = 0;
    store_revision upstreamRevision;
    std::uint64_t upstreamDigest = 0; // of the list without its revision; 0: no list
    base::duration age {};            // time since the read began

    bool operator==(const view_summary &) const = default;
};

// Requests documents. Any process may send it to any other.
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
    std::uint64_t id = 0;    // version of a configuration, hash of an encoded list of upstreams
    base::duration age {};   // time since the read began
    std::uint16_t index = 0; // of this page, from 0
    std::uint16_t count = 0; // pages of the document
    base::byte_vector bytes;

    bool operator==(const view_page &) const = default;
};

// From an entry instance to agents, periodically.
struct entry_hello
{
    std::uint64_t bootId = 0; // random number of the process; a new one requests all claims
    std::string zone;         // of the entry instance
    std::uint32_t slots = 0;  // of the agent's upstream, as published

    bool operator==(const entry_hello &) const = default;
};

// From an agent to entry instances, periodically.
struct load_report
{
    std::uint64_t bootId = 0;      // random number of the process
    std::uint32_t running = 0;     // requests at the upstream and held by the agent
    std::uint32_t meanRunning = 0; // mean over about the last second, thousandths of a request
    std::uint32_t openFlows = 0;
    base::duration meanServiceTime {}; // from request to first part of the answer; 0: unknown
    bool responsive = true;            // the upstream answers opening packets

    bool operator==(const load_report &) const = default;
};

// From an agent to entry instances: its upstream holds these flows.
struct flow_claim
{
    std::vector<flow_key> flows;

    bool operator==(const flow_claim &) const = default;
};

// From an agent to the entry instance that sent a probe: the upstream does not hold the flow.
struct flow_denial
{
    flow_key flow;
    std::uint32_t serviceDigest = 0; // of the agent's service
    // The probe was for another service and did not reach the upstream.
    bool misdirected = false;

    bool operator==(const flow_denial &) const = default;
};

// From an entry instance to any agent: probe the machines with the packet and return the answers.
struct probe_request
{
    std::uint32_t requestId = 0;
    std::vector<std::uint32_t> machines; // IPv4 addresses
    base::byte_vector packet;            // of the client, tagged as a probe

    bool operator==(const probe_request &) const = default;
};

// The answers to a probe_request. Machines that are not named did not answer in time.
struct probe_result
{
    std::uint32_t requestId = 0;
    flow_key flow;
    std::uint32_t owner = 0;           // IPv4 address of the agent that claims the flow; 0: none
    std::vector<std::uint32_t> denied; // IPv4 addresses

    bool operator==(const probe_result &) const = default;
};

// From an agent to entry instances: the service of its upstream. The store may hold several entries
// of one address, of which only this tells which one is the upstream's.
struct service_announcement
{
    std::uint32_t serviceDigest = 0;

    bool operator==(const service_announcement &) const = default;
};

// From an entry instance to an agent, with the hellos, while there is something to tell: what the
// store says of the agent's upstream and of its zone.
struct upstream_notice
{
    std::uint64_t incarnation = 0;           // of the upstream, as listed; 0: unknown
    std::chrono::milliseconds warmUpLeft {}; // remaining time of its slow start
    double coldRate = 0;               // requests a second that it bears meanwhile; 0: no limit
    store_revision evacuationRevision; // of the set of evacuated zones
    bool evacuated = false;            // the upstream's zone is

    bool operator==(const upstream_notice &) const = default;
};

// From an agent to entry instances, with the reports, while it limits what its upstream gets. It
// holds until the next one, or for capacity_report::lifetime.
struct capacity_report
{
    static constexpr std::chrono::milliseconds lifetime { 1500 };
    // Interval of unchanged ones; two may be lost. Changed ones are sent with the next report.
    static constexpr std::chrono::milliseconds repeatInterval { 500 };
    static constexpr std::uint16_t unlimited = 0xffff;
    static constexpr std::size_t priorities = 16;
    using priority_waits = std::array<std::uint16_t, priorities>;

    static constexpr priority_waits unlimitedWaits()
    {
        priority_waits waits {};
        waits.fill(unlimited);
        return waits;
    }

    // Opening packets that the agent accepts until its next report, from all entry instances.
    std::uint16_t openingRoom = unlimited;
    bool evacuated = false;        // it refuses opening packets, because its zone is evacuated
    std::uint32_t concurrency = 0; // requests that its upstream gets at the same time, thousandths;
                                   // 0: no limit
    // Under overload control: from now to the answer of a new request, with the mean service time,
    // in milliseconds, by priority. One value would refuse urgent requests because of others that
    // may wait for longer.
    priority_waits expectedWait = unlimitedWaits();

    // Whether expectedWait says anything.
    bool limitsWaits() const { return expectedWait != unlimitedWaits(); }

    bool operator==(const capacity_report &) const = default;
};

// Processes ignore kinds that they do not know, so new ones come last.
using peer_message = std::variant<entry_hello, load_report, flow_claim, flow_denial, view_summary,
                                  view_request, view_page, probe_request, probe_result,
                                  service_announcement, upstream_notice, capacity_report>;

// Sends messages to other processes. machine is the IPv4 address of the receiver.
class message_output
{
public:
    virtual ~message_output() = default;
    virtual void sendMessage(std::uint32_t machine, const peer_message &message) = 0;
};

// Largest packet and list of machines in one request; in bytes, an address has four.
inline constexpr std::size_t maxProbeRequestSize = 1350;

// Largest number of flows in one claim. It keeps the datagram below 1,300 bytes.
inline constexpr std::size_t maxClaimedFlows = 100;

} // namespace oriolehold::flow
