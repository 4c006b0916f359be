#pragma once

#include "oriolehold/flow/flow_observer.h"
#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/peer_message.h"
#include "oriolehold/flow/placement_policy.h"
#include "oriolehold/flow/read_schedule.h"
#include "oriolehold/flow/upstream_directory.h"
#include "oriolehold/flow/view_exchange.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>

#include <deque>

// Decisions of an entry instance: which upstream takes a new flow, which one holds an open flow,
// and when a client is told that its flow is gone.

namespace oriolehold::flow {

// Where an entry instance sends. The machine is the IPv4 address of an agent.
class entry_output : public message_output
{
public:
    virtual void sendToAgent(std::uint32_t machine, base::byte_view packet) = 0;
    virtual void sendToClient(std::uint32_t client, base::byte_view packet) = 0;
};

struct entry_identity
{
    std::uint64_t bootId = 0; // random
    std::string zone;
    std::vector<std::uint32_t> seeds; // machines of entry instances that may know the view
};

struct entry_counters
{
    std::uint64_t packets = 0;
    std::uint64_t malformed = 0;
    std::uint64_t knownFlow = 0;
    std::uint64_t placed = 0;
    std::uint64_t replaced = 0; // opening packets given to another upstream after a refusal
    std::uint64_t searches = 0;
    std::uint64_t probes = 0;
    std::uint64_t found = 0;
    std::uint64_t resets = 0;
    std::uint64_t dropped = 0;
};

class entry_balancer final : private view_listener
{
public:
    // The references must outlive the object.
    entry_balancer(entry_identity identity, const packet_codec &codec,
                   const document_codec &documents, placement_policy &policy, entry_output &output,
                   flow_observer &observer);

    // A packet from a client, or one that an agent gave back. sender is the IPv4 address that it
    // came from, which tells the agent.
    void receivePacket(base::byte_view packet, std::uint32_t sender, base::time_point now);
    void receiveMessage(std::uint32_t machine, const peer_message &message, base::time_point now);

    // Whether the store should be read now. The reader calls begin, then finish or fail.
    bool readDue(base::time_point now) const;
    void beginRead(base::time_point now);
    // configuration is empty when it did not change.
    void finishRead(const std::optional<flow_configuration> &configuration,
                    const upstream_list &upstreams, base::time_point readAt, base::time_point now);

    // Runs what is due and returns the time until the next call is needed.
    base::duration tick(base::time_point now);

    // Whether it can place new flows, was told of the open ones and is not isolated.
    bool ready(base::time_point now) const;
    // Whether all agents are silent, so that packets would go nowhere.
    bool isolated(base::time_point now) const;

    const view_exchange &view() const { return m_view; }
    const upstream_directory &directory() const { return m_directory; }
    // Machine of the upstream that is believed to hold the flow; 0 when none is known.
    std::uint32_t ownerOf(const flow_key &key) const;
    std::size_t knownFlows() const { return m_owners.size(); }
    std::size_t openSearches() const { return m_searches.size(); }
    const entry_counters &counters() const { return m_counters; }

private:
    struct owner
    {
        std::uint32_t machine = 0;
        std::uint32_t lastSeen = 0; // seconds of the time line
        // Of the upstream's service when the flow was placed or claimed. The address may serve
        // another one since.
        std::uint32_t serviceDigest = 0;
        std::uint8_t refusals = 0; // of the opening packet
        bool confirmed = false;    // an agent said that the flow is open there
    };
    struct candidate
    {
        std::uint32_t machine = 0;
        bool denied = false;
    };
    struct search
    {
        base::time_point startedAt {};
        base::time_point lastPacketAt {};
        std::vector<candidate> candidates;
        // The list and the routes that the candidates were taken from.
        base::time_point listReadAt {};
        std::uint64_t configurationVersion = 0;
        packet_head lastHead;
    };

    void routesChanged(const flow_configuration &configuration) override;
    void upstreamsUpdated(const upstream_list &list, base::time_point readAt,
                          base::time_point now) override;
    std::vector<std::uint32_t> relays() const;
    const flow_route *routeOf(const base::endpoint &service) const;
    void receiveFromClient(const packet_head &head, base::byte_view packet, base::time_point now);
    void receiveReturned(const packet_head &head, base::byte_view packet, std::uint32_t sender,
                         base::time_point now);
    void receiveRefused(const packet_head &head, base::byte_view packet, const flow_route &route,
                        base::time_point now);
    void placeFlow(const packet_head &head, base::byte_view packet, const flow_route &route,
                   base::time_point now);
    void forward(const owner &item, const base::endpoint &service, base::byte_view packet);
    // route may be null: its times and priority are unknown then.
    void sendTagged(packet_tag::instruction kind, std::uint32_t digest, const flow_route *route,
                    std::uint32_t machine, base::byte_view packet);
    void sendProbes(const flow_key &key, const flow_route &route, const packet_head &head,
                    base::byte_view packet, std::uint32_t excluded, base::time_point now);
    // Adds the upstreams that the present view has and the search does not know.
    void addCandidates(search &state, const flow_route &route, std::uint32_t excluded);
    void receiveDenial(const flow_denial &denial, std::uint32_t machine);
    void receiveClaim(const flow_key &key, std::uint32_t machine, base::time_point now);
    // Resets the client if that is safe, else drops the packet.
    void resetOrDrop(const packet_head &head, std::string_view reason, bool certain,
                     base::time_point now);
    void resetClient(const packet_head &head, std::string_view reason, base::time_point now);
    void concludeSearches(base::time_point now);
    void expireOwners(base::time_point now);
    void sendHellos(base::time_point now);
    const std::string &chooseService(const flow_route &route, const flow_key &key) const;

    const entry_identity m_identity;
    const packet_codec &m_codec;
    placement_policy &m_policy;
    entry_output &m_output;
    flow_observer &m_observer;

    view_exchange m_view;
    read_schedule m_schedule;
    boost::unordered_flat_map<base::endpoint, std::size_t, base::endpoint_hash> m_routes;
    upstream_directory m_directory;
    boost::unordered_flat_map<flow_key, owner, flow_key_hash> m_owners;
    boost::unordered_flat_map<flow_key, search, flow_key_hash> m_searches;
    base::time_point m_nextHello {};
    base::time_point m_nextSeedRequest {};
    base::time_point m_nextExpiry {};
    base::time_point m_firstHelloAt {};
    base::time_point m_lastAgentMessageAt {}; // the last message of any agent
    base::time_point m_lastListAt {}; // when the last list came, read here or by another instance
    bool m_searchNeedsRead = false;   // a search waits for a newer list
    base::byte_vector m_scratch;
    entry_counters m_counters;
};

} // namespace oriolehold::flow
