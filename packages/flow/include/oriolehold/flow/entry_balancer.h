#pragma once

#include "oriolehold/flow/entry_output.h"
#include "oriolehold/flow/first_use_delay.h"
#include "oriolehold/flow/flow_observer.h"
#include "oriolehold/flow/notice_schedule.h"
#include "oriolehold/flow/overload_refusal.h"
#include "oriolehold/flow/owner_search.h"
#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/peer_message.h"
#include "oriolehold/flow/placement_policy.h"
#include "oriolehold/flow/read_schedule.h"
#include "oriolehold/flow/reset_reason.h"
#include "oriolehold/flow/tagged_sender.h"
#include "oriolehold/flow/upstream_directory.h"
#include "oriolehold/flow/view_exchange.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>

#include <span>

// Decides for an entry instance which upstream takes a new flow, which upstream holds an open flow,
// and when a client's flow is reset because no upstream holds it.

namespace oriolehold::flow {

struct entry_identity
{
    std::uint64_t bootId = 0; // random number of the process
    std::string zone;
    std::vector<std::uint32_t> seeds; // IPv4 addresses of entry instances that may have a view
    bool isSeed = false;              // other instances ask this one for a view
    // Applied to new upstreams; all entry instances have the same. 0: off.
    std::chrono::milliseconds firstUseDelay {};
    bool sendsNotices = false; // the deployment evacuates zones or limits upstreams in warm-up
};

// Totals since the start of the process.
struct entry_counters : search_counters
{
    std::uint64_t packets = 0;      // received
    std::uint64_t malformed = 0;    // packets that could not be decoded
    std::uint64_t misaddressed = 0; // packets for an agent, discarded
    std::uint64_t knownFlow = 0;    // packets of clients forwarded to the known owner
    std::uint64_t placed = 0;       // opening packets given to their first upstream
    std::uint64_t replaced = 0;     // opening packets given to another upstream after a refusal
    std::uint64_t changed = 0;      // claims for a flow that another agent had claimed before
    std::uint64_t resets = 0;       // sent to clients
    std::uint64_t dropped = 0;      // packets discarded
    std::uint64_t storeRestores = 0;
    std::uint64_t refusedEvacuated = 0; // opening packets: the service's zones are evacuated
    // Opening packets that no upstream could serve in time, by the reports of the agents.
    std::uint64_t refusedOverload = 0;
    // Opening packets for which new upstreams were left out.
    std::uint64_t firstUsesDelayed = 0;
    reset_counters resetsByReason;
};

class entry_balancer final : private view_listener, private search_view, private reset_output
{
public:
    // The references must outlive the object.
    entry_balancer(entry_identity identity, const packet_codec &codec,
                   const document_codec &documents, placement_policy &policy, entry_output &output,
                   flow_observer &observer);

    // Handles a packet from a client or one that an agent returned. sender is the IPv4 address that
    // it came from; it identifies the agent.
    void receivePacket(base::byte_view packet, std::uint32_t sender, base::time_point now);
    void receiveMessage(std::uint32_t machine, const peer_message &message, base::time_point now);

    // Whether the store should be read now. The reader calls beginRead() before the read, and
    // finishRead() after one that succeeded.
    bool readDue(base::time_point now) const;
    void beginRead(base::time_point now);
    // readAt is the time at which the read began. configuration is empty when it did not change or
    // could not be read; upstreams is empty when the list could not be read.
    void finishRead(const std::optional<flow_configuration> &configuration,
                    const std::optional<upstream_list> &upstreams, base::time_point readAt,
                    base::time_point now);

    // Performs the actions that are due and returns the time until the next call.
    base::duration tick(base::time_point now);

    // Whether a configuration is in force, the agents had time to claim their open flows, and the
    // instance is not isolated.
    bool ready(base::time_point now) const;
    // Whether no agent has sent a message recently, so that no packet would reach an upstream.
    bool isolated(base::time_point now) const;

    const view_exchange &view() const { return m_view; }
    const upstream_directory &directory() const override { return m_directory; }
    // IPv4 address of the upstream that holds the flow; 0 when the flow is not in the table.
    std::uint32_t ownerOf(const flow_key &key) const;
    std::size_t knownFlows() const { return m_owners.size(); }
    std::size_t openSearches() const { return m_search.openSearches(); }
    const entry_counters &counters() const { return m_counters; }

private:
    struct owner
    {
        std::uint32_t machine = 0;
        std::uint32_t lastSeen = 0; // last packet or claim, seconds since the Unix epoch
        // Of the upstream's service when the flow was placed or claimed. The address may serve
        // another service since then.
        std::uint32_t serviceDigest = 0;
        // Sequence number of the opening packet, and when its first copy was placed here, in
        // seconds since the Unix epoch; 0: only other instances placed flows of these addresses and
        // ports.
        std::uint32_t openingSequence = 0;
        std::uint32_t placedAt = 0;
        std::uint8_t refusals = 0; // of the opening packet, and returns without an answer
        // An upstream that has not answered the opening packet in time may still accept it.
        bool mayBeAccepted = false;
        bool confirmed = false; // an agent claimed the flow
    };

    void routesChanged(const flow_configuration &configuration) override;
    void upstreamsUpdated(const upstream_list &list, base::time_point readAt,
                          base::time_point now) override;
    std::uint64_t configurationVersion() const override { return m_view.configuration().version; }
    const flow_route *routeOf(const base::endpoint &service) const override;
    bool isKnownService(const upstream_record &record) const override;
    bool awaitsAgents() const override;
    bool listIsComplete(const flow_route &route, base::time_point now) override;
    bool listMayLackUpstreams(base::time_point now) const override;
    void resetClient(const packet_head &head, std::string_view reason,
                     base::time_point now) override;
    // Applies the list to the directory.
    void applyList(const upstream_list &list, base::time_point readAt, base::time_point now);
    // Whether a hello to the upstream's agent is due in this round. Entries of other writers may
    // have a service that the configuration does not have, and name machines without an agent.
    bool needsHello(const known_upstream &upstream, base::time_point now) const;
    // Whether the upstream's agent was heard, or may still answer a hello.
    bool mayHaveAgent(const known_upstream &upstream) const;
    // Sends hellos to the machines before the next round.
    void greetSoon(std::span<const std::uint32_t> machines, base::time_point now);
    // Spreads the pending hellos over the steps of a round.
    void spreadHellos();
    // Notes that the machine has an agent if the message is one that only agents send.
    void hearAgent(std::uint32_t machine, const peer_message &message, base::time_point now);
    // Agents that pass a summary on to all entry instances.
    std::vector<std::uint32_t> relays(base::time_point now) const;
    void receiveFromClient(const packet_head &head, base::byte_view packet, base::time_point now);
    void receiveOpening(const packet_head &head, base::byte_view packet, base::time_point now);
    // Forwards a client's packet to the owner in the table.
    void forwardKnown(owner &item, const base::endpoint &service, base::byte_view packet,
                      base::time_point now);
    void receiveReturned(const packet_head &head, base::byte_view packet, std::uint32_t sender,
                         base::time_point now);
    void receiveRefused(const packet_head &head, base::byte_view packet, const flow_route &route,
                        base::time_point now);
    // Whether the opening packet is a copy of the one that opened the flow, rather than the first
    // of a new flow from the same port.
    bool isCopyOfOpening(const packet_head &head, const flow_route &route, const owner &item,
                         base::time_point now) const;
    // Forgets what is known of a former flow with the same addresses and ports.
    void forgetFlow(const flow_key &key);
    void placeFlow(const packet_head &head, base::byte_view packet, const flow_route &route,
                   base::time_point now);
    void forward(const owner &item, const base::endpoint &service, base::byte_view packet);
    void receiveResult(const probe_result &result, base::time_point now);
    void receiveDenial(const flow_denial &denial, std::uint32_t machine, base::time_point now);
    void receiveCapacity(std::uint32_t machine, const capacity_report &report,
                         base::time_point now);
    void receiveAnnouncement(std::uint32_t machine, const service_announcement &announcement,
                             base::time_point now);
    void receiveClaim(const flow_key &key, std::uint32_t machine, base::time_point now);
    // Resets the client if certain is set and the packet is the first copy of an opening packet,
    // else drops the packet.
    void resetOrDrop(const packet_head &head, std::string_view reason, bool certain,
                     base::time_point now);
    // Resets the client for the reason in the decision, which it completes for the log.
    void resetClient(const packet_head &head, flow_decision decision, base::time_point now);
    void expireOwners(base::time_point now);
    // Sends the next hellos of the current round, or begins a round.
    void sendHellos(base::time_point now);
    // Published rate of the upstream in its warm-up; 0: none.
    double coldRateOf(const known_upstream &upstream) const;
    upstream_notice noticeOf(const known_upstream &upstream, base::time_point now) const;
    // Puts a changed set of evacuated zones in force.
    void applyEvacuation(const zone_evacuation &evacuation, base::time_point now);
    // Whether a copy of an opening packet must be placed anew, because its upstream takes no new
    // flows since the first copy and has not opened the flow as far as is known.
    bool leavesEvacuatedZone(const owner &item) const;
    // Refuses an opening packet for which there is no upstream.
    void refuseOpening(const packet_head &head, std::string_view service, base::time_point now);
    // Refuses an opening packet that no upstream can serve in time. Returns false if it must be
    // placed: an upstream may have accepted another copy.
    bool refuseForOverload(const packet_head &head, const packet_tag &tag,
                           const overload_refusal::choice &choice, base::time_point now);
    // Returns the service for a new flow; nullptr if none of the route's services takes any.
    static const std::string *chooseService(const flow_route &route, const flow_key &key);

    const entry_identity m_identity;
    const packet_codec &m_codec;
    placement_policy &m_policy;
    entry_output &m_output;
    tagged_sender m_sender;
    flow_observer &m_observer;

    view_exchange m_view;
    read_schedule m_schedule;
    // Routes in force, by address. Services that a route had in earlier versions may hold open
    // flows; they stay in it with weight 0, as far as this process saw those versions.
    boost::unordered_flat_map<base::endpoint, flow_route, base::endpoint_hash> m_routes;
    boost::unordered_flat_set<std::string> m_services; // of the configuration
    upstream_directory m_directory;
    first_use_delay m_firstUse;
    base::seeded_random m_random;
    overload_refusal m_overload { m_random };
    boost::unordered_flat_map<flow_key, owner, flow_key_hash> m_owners;
    base::time_point m_nextHello {};
    base::time_point m_nextSeedRequest {};
    base::time_point m_nextExpiry {};
    std::vector<std::uint32_t> m_pendingHellos; // machines of the current round
    std::size_t m_hellosPerStep = 0;            // of the current round
    notice_schedule m_notices;
    boost::unordered_flat_map<std::string, double> m_coldRates; // by service
    base::time_point m_nextHelloRound {};
    base::time_point m_firstHelloAt {}; // when the last hello of the first round was sent
    // Time of the last message of each agent that is not in the directory, by machine address.
    boost::unordered_flat_map<std::uint32_t, base::time_point> m_unlistedAgents;
    base::time_point m_lastListAt {}; // arrival of the last list, read by any instance
    base::byte_vector m_scratch;
    entry_counters m_counters;
    owner_search m_search;
};

} // namespace oriolehold::flow
