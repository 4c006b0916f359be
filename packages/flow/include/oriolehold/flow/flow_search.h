#pragma once

#include "oriolehold/flow/packet.h"

#include <bitset>
#include <vector>

// The state of one search for the upstream that holds a flow.

namespace oriolehold::flow {

// Packets of the client that a search keeps. Clients have at most 16 in flight.
inline constexpr std::size_t maxKeptPackets = 16;

// An upstream that may hold the flow.
struct search_candidate
{
    std::uint32_t machine = 0;        // IPv4 address
    base::time_point firstProbeAt {}; // epoch: not probed
    base::time_point lastProbeAt {};
    std::uint32_t round = 0;              // of the last probe; 0: not probed
    std::bitset<maxKeptPackets> received; // packets of the search that were sent there
    base::time_point awaitedSince {};     // a probe that counts in the window; epoch: none
    bool relayed = false;                 // an agent probes it and has not returned the result
    bool denied = false;
};

// A request to an agent that probes candidates on behalf of the entry instance.
struct relay_request
{
    std::uint32_t id = 0;
    std::uint32_t machine = 0; // of the agent
    std::vector<std::uint32_t> candidates;
};

// The first packet of the client, and each copy of one, begins a round of probes to all candidates
// that have not denied. The packets are kept: the owner may need all of them before it answers.
struct flow_search
{
    struct kept_packet
    {
        base::byte_vector bytes;
        packet_head head;
    };
    struct kept_position
    {
        std::size_t position = 0; // in packets
        bool isCopy = false;      // the packet was kept before
    };

    // Keeps a packet of the client. If there is no room, or keepsOne is set, a new packet replaces
    // the last one.
    kept_position keep(const packet_head &head, base::byte_view packet, bool keepsOne);
    // Ends the wait for the answer of a candidate. Returns whether there was one.
    bool endWait(search_candidate &item);

    const kept_packet &currentPacket() const { return packets[current]; }

    base::time_point startedAt {};
    base::time_point lastPacketAt {};
    base::time_point roundBegunAt {};
    std::uint32_t round = 0;
    std::vector<kept_packet> packets; // different ones, oldest first
    std::size_t current = 0;          // position of the packet that the round probes with
    bool roundComplete = true;
    bool queued = false; // waits for room in the window of probes
    std::size_t awaitedProbes = 0;
    std::vector<relay_request> relays; // without a result so far
    unsigned relayFailures = 0;        // results that did not arrive in time
    bool packetsDue = false;           // candidates that stay silent will get the other packets
    std::vector<search_candidate> candidates;
    // The candidates include upstreams of services that the route does not have.
    bool allServices = false;
    // Read time of the list, version of the routes and number of agents found when the candidates
    // were chosen.
    base::time_point listReadAt {};
    std::uint64_t configurationVersion = 0;
    std::uint64_t agentsFound = 0;
    std::uint32_t probes = 0; // sent
};

} // namespace oriolehold::flow
