#pragma once

#include "deployment_simulation.h"

#include <deque>

// The machines, processes and flows of deployment_simulation.

namespace oriolehold::flow {

// A process handles its input at once. While it is stalled or slowed, its input waits and is
// handled in batches, with ticks between them.
struct deployment_simulation::process
{
    bool running = false;
    std::uint64_t incarnation = 0;
    base::time_point stalledUntil {};
    base::time_point slowUntil {};
    base::duration slowStep {}; // between two batches while the process is slow
    bool wakes = false;         // a wake-up is scheduled
    std::array<std::deque<std::function<void()>>, 3> input; // by socket
    std::function<void()> tick;
    // End of the last unplanned disruption of the machine.
    base::time_point disruptedUntil {};
    // Packets that the machine loses.
    unsigned lossPercent = 0;
    base::time_point lossyUntil {};

    bool hasInput() const
    {
        return std::ranges::any_of(input, [](const auto &queue) { return !queue.empty(); });
    }
    void disruptUntil(base::time_point time) { disruptedUntil = std::max(disruptedUntil, time); }
};

struct deployment_simulation::entry : process
{
    std::uint32_t machine = 0;
    std::size_t zone = 0;
    bool inRotation = true;
    bool heldOut = false;  // out of the rotation for planned work
    bool stopping = false; // refuses readiness checks and still forwards
    int missedChecks = 0;
    base::time_point refusedUntil {}; // by the store
    simulated_store_reader reader;
    zone_evacuation evacuation; // as read last
    // When it was seen to have the evacuation of a zone that is in force.
    std::array<std::optional<base::time_point>, 2> learnedAt;
    base::time_point startedAt {};
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<expected_time_policy> policy;
    std::unique_ptr<simulated_entry_output> output;
    std::unique_ptr<recording_observer> observer;
    std::unique_ptr<entry_balancer> balancer;
};

// The answer of an upstream to an opening packet.
struct deployment_simulation::offer
{
    std::uint32_t clientSequence = 0; // of the opening packet
    std::uint32_t sequence = 0;       // of the answer
};

// An open flow at its upstream.
struct deployment_simulation::upstream_flow
{
    std::uint32_t expected = 1;                     // end of the complete requests
    std::uint32_t answered = 1;                     // end of the answered requests
    std::map<std::uint32_t, std::uint16_t> pending; // sizes of later packets by sequence number
    bool closed = false;
};

// A complete request at its upstream.
struct deployment_simulation::request
{
    std::uint16_t port = 0; // of the client
    std::uint32_t end = 0;  // sequence number after its last packet
};

// An upstream and the agent on its machine. The process is the agent.
struct deployment_simulation::upstream : process
{
    std::uint32_t machine = 0;
    std::size_t zone = 0;
    std::string service;
    std::uint32_t slots = 1;
    std::uint64_t number = 0; // of the upstream's start; 0: none started
    std::uint64_t born = 0;   // Unix milliseconds
    std::string id;
    bool alive = false;
    bool draining = false;
    base::time_point drainingSince {};
    base::duration meanServiceTime {};
    base::time_point busyUntil {};
    unsigned busyFactor = 1;
    base::time_point lateUntil {};
    base::duration longestReturn {};              // while it returns packets late
    std::map<std::uint16_t, offer> offered;       // by client port
    std::map<std::uint16_t, upstream_flow> flows; // by client port
    // Entry instances that sent the last packet of a flow, by client port.
    std::map<std::uint16_t, std::size_t> senders;
    std::uint32_t serving = 0; // requests
    std::deque<request> waiting;
    std::deque<base::time_point> coldOpenings; // opening packets of the last second in the warm-up
    std::unique_ptr<simulated_agent_output> output;
    std::unique_ptr<flow_agent> agent;
};

// Between an entry instance and an agent.
struct deployment_simulation::link
{
    base::time_point cutToUpstreamUntil {};
    base::time_point cutToEntryUntil {};

    base::time_point disruptedUntil() const
    {
        return std::max(cutToUpstreamUntil, cutToEntryUntil);
    }
};

// A packet of an open flow that another upstream processed.
struct deployment_simulation::stray
{
    base::time_point at {};
    std::size_t entryIndex = 0; // that sent it
    std::uint32_t machine = 0;  // of the upstream
    bool isCopy = false; // its own upstream got the same packet, as a probe of the same round
};

struct deployment_simulation::client_flow
{
    base::endpoint service;
    std::size_t zone = 0;
    std::uint32_t offer = 0; // sequence number of the answer that opened the flow
    bool established = false;
    bool ended = false;
    bool finishing = false;
    int requestsLeft = 1;
    int answers = 0;
    base::duration longestPause {};    // between requests
    std::uint32_t use = 0;             // position among the flows from the port, from 1
    base::time_point begunAt {};       // when the first opening packet was sent
    std::uint32_t openingSequence = 0; // of the opening packet
    std::uint32_t sequence = 1;
    std::vector<packet_head> unanswered;
    std::uint32_t generation = 0; // of the present request, for its timers
    // The upstream that holds the flow, once the end of the handshake reached it.
    std::uint32_t owner = 0;
    std::uint64_t ownerNumber = 0;
    std::map<std::uint32_t, base::time_point> atOwner; // last arrivals, by sequence number
    std::vector<stray> strays; // since the last packet that reached the owner

    // Whether the client sent a packet with this sequence number in this flow, rather than in a
    // former one from the same port.
    bool hasSent(std::uint32_t number) const
    {
        return number >= openingSequence && number <= sequence;
    }
};

inline constexpr std::uint32_t firstEntryMachine = 1000; // address of the first entry instance
// Payload of the last packet of a request, in bytes. Other packets have another size.
inline constexpr std::uint16_t lastPacketSize = 50;
inline constexpr std::array<std::string_view, 2> zoneNames { "zone-a", "zone-b" };
// Unplanned disruptions of a machine excuse what happens until this time after them.
inline constexpr std::chrono::seconds recoveryTime { 5 };
inline constexpr opening_bounds coldBounds { 1.5, 5 };
inline constexpr std::uint32_t clientMachine = 0x64400001;
inline constexpr base::endpoint ordersEndpoint { 0xc6120001, 443 };
inline constexpr base::endpoint catalogEndpoint { 0xc6120002, 443 };

} // namespace oriolehold::flow
