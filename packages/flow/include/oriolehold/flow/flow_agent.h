#pragma once

#include "oriolehold/flow/admission_control.h"
#include "oriolehold/flow/flow_observer.h"
#include "oriolehold/flow/hold_queue.h"
#include "oriolehold/flow/load_meter.h"
#include "oriolehold/flow/notice_record.h"
#include "oriolehold/flow/opening_limiter.h"
#include "oriolehold/flow/opening_queue.h"
#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/peer_message.h"
#include "oriolehold/flow/probe_relay.h"
#include "oriolehold/flow/request_deadlines.h"
#include "oriolehold/flow/upstream_pace.h"
#include "oriolehold/flow/view_exchange.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <vector>

// Decides for the agent of one upstream: passes packets between entry instances, the upstream and
// clients, records which flows the upstream holds, and reports them to the entry instances.

namespace oriolehold::flow {

// Sends the packets of an agent. client is the IPv4 address of a client.
class agent_output : public message_output
{
public:
    virtual void sendToUpstream(base::byte_view packet) = 0;
    virtual void sendToClient(std::uint32_t client, base::byte_view packet) = 0;
    virtual void sendToEntry(const base::endpoint &entry, base::byte_view packet) = 0;
    // machine is the IPv4 address of another agent, or of this one.
    virtual void sendToAgent(std::uint32_t machine, base::byte_view packet) = 0;
};

// Totals since the start of the process.
struct agent_counters
{
    std::uint64_t fromEntries = 0;  // packets
    std::uint64_t fromUpstream = 0; // packets
    std::uint64_t malformed = 0;    // packets with an invalid head, tag or entry index
    std::uint64_t otherService = 0; // packets for another service, such as a former address user
    std::uint64_t opened = 0;       // flows
    std::uint64_t refused = 0;      // opening packets that the upstream returned
    std::uint64_t unanswered = 0;   // opening packets without an answer in time
    std::uint64_t absent = 0;       // other packets of flows that the upstream does not hold
    std::uint64_t claims = 0;       // broadcasts to all entry instances
    std::uint64_t held = 0;         // requests
    std::uint64_t overloaded = 0;   // opening packets refused because of overload
    std::uint64_t releasedLate = 0; // held requests released after their latest start
    std::uint64_t callerLeft = 0;   // held requests dropped because their client had left
    std::uint64_t relayed = 0;      // searches on behalf of entry instances
    std::uint64_t refusedEvacuated = 0; // opening packets: the zone is evacuated
    std::uint64_t refusedCold = 0;      // opening packets: the upstream warms up
    std::uint64_t openingsWaited = 0;   // opening packets that waited in the warm-up
};

// Parts of the agent that the settings enable.
struct agent_options
{
    bool pace = false;            // limits an upstream that has started or recovered
    bool overloadControl = false; // refuses what cannot be served in time
};

struct agent_identity
{
    std::uint64_t bootId = 0;                            // random number of the process
    std::string service;                                 // name of the upstream's service
    std::optional<opening_bounds> warmUp = std::nullopt; // empty: the upstream is not limited
    agent_options options {};
};

class flow_agent final : private view_listener
{
public:
    // The references must outlive the object.
    flow_agent(const agent_identity &identity, const packet_codec &codec,
               const document_codec &documents, agent_output &output, flow_observer &observer);

    void receiveFromEntry(const base::endpoint &entry, base::byte_view packet,
                          base::time_point now);
    void receiveFromUpstream(base::byte_view packet, base::time_point now);
    void receiveMessage(std::uint32_t machine, const peer_message &message, base::time_point now);
    // Performs the actions that are due and returns the time until the next call. A late call
    // counts as a stall of the process.
    base::duration tick(base::time_point now);

    // Is called after the packets for the upstream have left the process, if the upstream is
    // limited in its warm-up.
    void upstreamFlushed(base::time_point now) { m_limiter.flushed(now); }

    // The limit of the upstream; 0 while it has none.
    pace_change pace() const { return m_pace.state(); }
    const load_meter &load() const { return m_load; }
    std::size_t openFlows() const { return m_openFlows; }
    bool evacuated(base::time_point now) const { return m_notices.evacuated(now); }
    // Whether the opening packets are limited because the upstream warms up.
    bool limitsOpenings(base::time_point now) const { return m_limiter.isLimited(now); }
    const agent_counters &counters() const { return m_counters; }

private:
    struct flow_state
    {
        base::time_point lastSeen {};
        base::time_point openingAt {};    // when the client sent its first opening packet
        base::time_point requestAt {};    // delivery of the running request; epoch: none is running
        base::time_point answeredAt {};   // first packet of the upstream
        base::time_point objectiveEnd {}; // of the running or held request
        base::duration held {};           // time that the running request was held
        base::time_point lastAnswerAt {}; // last packet of the upstream; epoch: none
        std::uint32_t requestSequence = 0; // end of the data delivered so far; 0: none
        std::uint32_t openingSequence = 0; // of the answer to the opening packet
        std::uint32_t clientEnd = 0;       // sequence number after the client's finishing packet
        std::optional<std::uint32_t> clientSequence; // of the client's opening packet
        std::uint8_t priority = 0;                   // of the running request
        bool open = false;
        bool answered = false; // the upstream has sent a packet of the flow
        bool finishedByClient = false;
        bool finishedByUpstream = false;

        bool ended() const { return finishedByClient && finishedByUpstream; }

        // Whether the upstream has accepted an opening packet or got data of the flow.
        bool mayBeOpen() const { return open || answered || requestSequence != 0; }
    };
    // A client's packet for the upstream, with the entry instance that sent it.
    struct entry_packet
    {
        flow_key key;
        base::endpoint entry;
        packet_head head;
        base::byte_view bytes;
        base::time_point receivedAt {};
    };
    struct known_entry
    {
        std::uint64_t bootId = 0;
        base::time_point lastHelloAt {};
        std::uint32_t claimsLeft = 0; // further hellos that are answered with claims of all flows
    };
    // A probe with data, which a running upstream returns or answers.
    struct pending_probe
    {
        base::time_point deliveredAt {};
        base::time_point dueAt {};
        bool extended = false; // once, after a stall of the process
    };
    // An opening packet without an answer of the upstream so far.
    struct pending_opening
    {
        flow_key key;
        base::endpoint entry;
        base::time_point returnAt {};
        base::byte_vector packet;
        bool extended = false; // once, after a stall of the process
    };

    // An agent does not use the view itself; it stores the view for entry instances.
    void routesChanged(const flow_configuration &) override { }
    void upstreamsUpdated(const upstream_list &, base::time_point, base::time_point) override { }

    // Passes a packet on, or holds it while the upstream is busy.
    void passToUpstream(const entry_packet &item, base::time_point now);
    // Whether the upstream may get the opening packet now. Otherwise the packet waits or is
    // returned.
    bool admitOpening(const entry_packet &item, base::time_point now);
    // Passes waiting opening packets on as far as the limit admits, and returns those that are too
    // late.
    void releaseOpenings(base::time_point now);
    void returnCold(const flow_key &key, const base::endpoint &entry, packet_tag::instruction kind,
                    base::byte_view packet);
    // Refuses an opening packet that cannot be served in time; returns false if it is admitted.
    bool refuseForOverload(const flow_key &key, const base::endpoint &entry,
                           const packet_head &head, base::byte_view packet, base::time_point now);
    // Counts a held request whose client has left before its release.
    void countCallerLeft(const flow_key &key, std::string_view reason);
    // Forgets the flow of an earlier opening packet with the same addresses and ports.
    void forgetFormerFlow(const flow_key &key, const packet_head &opening, base::time_point now);
    // Whether the packet is of a flow that the client opened elsewhere, from the port of a flow
    // that has ended here. The upstream would answer it with a reset.
    static bool belongsToLaterFlow(const flow_state &state, const packet_head &head);
    // Tells the entry instance that the upstream does not hold the flow of a packet that it did not
    // get.
    void denyLaterFlow(const flow_key &key, const base::endpoint &entry, const packet_head &head,
                       base::byte_view packet);
    // Index of the entry instance in m_entryEndpoints. Adds it if it is new.
    std::uint32_t entryIndex(const base::endpoint &entry);
    void receiveReturned(const packet_head &head, base::byte_view packet, base::time_point now);
    // Whether the packet begins a new request rather than repeats or continues one.
    static bool beginsRequest(const flow_state &state, const packet_head &head);
    // Whether the packet belongs to a flow that the upstream holds, or opens one there.
    static bool holdsFlow(const flow_state &state, const packet_head &head);
    // Whether the packet is the first one by which a client tells that it took this upstream's
    // answer to its opening packet, so that no other upstream holds the flow.
    static bool endsHandshake(const flow_state &state, const packet_head &head);
    // Drops or stops counting the request of a client that closes or resets the flow.
    void endRequestOfLeavingClient(const flow_key &key, flow_state &state, const packet_head &head,
                                   base::time_point now);
    // Stops counting running requests whose time has passed.
    void expireRequests(base::time_point now);
    // Constraints of a request whose first packet arrives now; records its times in the state.
    request_constraints constraintsOf(flow_state &state, const packet_tag &tag,
                                      base::time_point now) const;
    void beginRequest(const flow_key &key, flow_state &state, std::uint8_t priority,
                      base::duration held, base::time_point now);
    // Sends the packet to the upstream, or holds it while the upstream is busy. A probe is not held
    // and releases the held packets of its flow before it.
    void deliver(const flow_key &key, flow_state &state, const packet_head &head,
                 base::time_point now);
    // Sends the released packets of a request to the upstream.
    hold_queue::release_handler releaseHandler(base::time_point now);
    void releaseHeld(base::time_point now);
    // Applies the present limit of the upstream to the hold queue.
    void updateLimit();
    void returnToEntry(const base::endpoint &entry, packet_tag::instruction kind,
                       base::byte_view packet);
    // Records the flow as open and sends a claim to all entry instances.
    void markOpen(const flow_key &key, flow_state &state, std::string_view reason);
    // Removes the flow with its running or held request.
    void removeFlow(const flow_key &key, base::time_point now);
    void broadcastClaim(const flow_claim &claim);
    // Closes the flow if both ends have finished it. It is claimed only to instances that search it
    // then.
    void closeIfEnded(flow_state &state);
    // Sends claims of all open flows to the entry instance on the machine.
    void claimAllFlows(std::uint32_t machine);
    // Counts probes after which the upstream has sent nothing.
    void countUnansweredProbes(base::time_point now);
    // Gives the upstream the full time again, once, for the packets that it has not answered.
    void extendWaits(base::time_point now);
    // Handles the requests of entry instances for searches, and the answers of other agents.
    // Returns false for other messages.
    bool receiveRelayed(std::uint32_t machine, const peer_message &message, base::time_point now);
    // Returns opening packets that the upstream has not answered in time.
    void returnUnansweredOpenings(base::time_point now);
    void expire(base::time_point now);
    void reportLoad(base::time_point now);
    // The next report follows the last one by at most the gap.
    void hastenReport(base::duration gap);
    // What the agent limits at present.
    capacity_report capacity(base::time_point now);
    // What an opening packet of this priority would wait for.
    admission_load admissionLoad(std::uint8_t priority, base::time_point now) const;
    // Expected waits for the capacity report, while the agent refuses opening packets.
    capacity_report::priority_waits expectedWaits(base::time_point now);
    // Whether an opening packet must not reach the upstream; then it is returned as refused.
    bool refusesOpening(const flow_key &key, const base::endpoint &entry, const packet_head &head,
                        base::byte_view packet, base::time_point now);

    const std::uint64_t m_bootId;
    const std::uint32_t m_serviceDigest;
    const agent_options m_options;
    const packet_codec &m_codec;
    agent_output &m_output;
    flow_observer &m_observer;

    boost::unordered_flat_map<flow_key, flow_state, flow_key_hash> m_flows;
    std::size_t m_openFlows = 0;
    boost::unordered_flat_map<std::uint32_t, known_entry> m_entries; // by machine address
    std::vector<base::endpoint> m_entryEndpoints; // by the index in the tags of packets
    std::deque<pending_probe> m_probes;           // in the order of their times
    std::deque<pending_opening> m_openings;       // in the order of their times
    base::time_point m_lastUpstreamPacketAt {};
    std::uint32_t m_unanswered = 0; // packets without an answer since then
    load_meter m_load;
    request_deadlines m_deadlines;
    upstream_pace m_pace;
    admission_control m_admission;
    hold_queue m_holdQueue;
    probe_relay m_relay;
    view_exchange m_view;
    notice_record m_notices;
    opening_limiter m_limiter;
    opening_queue m_waitingOpenings;
    base::time_point m_capacityReportsUntil {};
    base::time_point m_nextCapacityReport {};
    capacity_report m_reportedCapacity;
    base::time_point m_overloadedUntil {}; // expected waits are reported until then
    base::time_point m_refusingUntil {};   // reports may be early until then
    bool m_reportedFull = false;           // the last report stated a wait for a place
    base::time_point m_nextReport {};
    base::time_point m_lastReportAt {};
    base::time_point m_nextAnnouncement {};
    base::time_point m_nextExpiry {};
    base::time_point m_nextTick {}; // when the next call of tick() is due
    base::byte_vector m_scratch;
    agent_counters m_counters;
};

} // namespace oriolehold::flow
