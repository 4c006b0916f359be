#pragma once

#include "oriolehold/flow/flow_observer.h"
#include "oriolehold/flow/flow_search.h"
#include "oriolehold/flow/peer_message.h"
#include "oriolehold/flow/probe_window.h"
#include "oriolehold/flow/tagged_sender.h"
#include "oriolehold/flow/upstream_directory.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <functional>

// Finds the upstreams that hold open flows: probes the possible owners of a flow, directly or
// through agents, until one of them claims it, or all deny it and its client is reset.

namespace oriolehold::flow {

// Totals since the start of the process.
struct search_counters
{
    std::uint64_t searches = 0;  // started
    std::uint64_t widened = 0;   // searches that were extended to all services
    std::uint64_t probes = 0;    // sent
    std::uint64_t relays = 0;    // requests to agents that probe on behalf of this instance
    std::uint64_t found = 0;     // searches that a claim ended
    std::uint64_t abandoned = 0; // searches that ended without a claim or a reset
    // Resets that did not wait for a list newer than the search.
    std::uint64_t waitsAvoided = 0;
};

// The view of the entry instance that searches rely on.
class search_view
{
public:
    virtual ~search_view() = default;
    virtual const upstream_directory &directory() const = 0;
    virtual std::uint64_t configurationVersion() const = 0;
    // Returns nullptr if the address has no route.
    virtual const flow_route *routeOf(const base::endpoint &service) const = 0;
    // Whether the configuration has the service; true for all services before the first one.
    virtual bool isKnownService(const upstream_record &record) const = 0;
    // Whether the agent of an upstream that may hold flows has not been heard yet, so that the
    // upstream is not probed.
    virtual bool awaitsAgents() const = 0;
    // Whether no instance has placed a flow of the route on an upstream that the list lacks.
    virtual bool listIsComplete(const flow_route &route, base::time_point now) = 0;
    // Whether an agent reports although its upstream is not listed; the upstream may register
    // again.
    virtual bool listMayLackUpstreams(base::time_point now) const = 0;
};

// Resets the clients of flows that no upstream holds.
class reset_output
{
public:
    virtual ~reset_output() = default;
    virtual void resetClient(const packet_head &head, std::string_view reason,
                             base::time_point now) = 0;
};

class owner_search
{
public:
    // Upstreams in the zone are probed before others. The references must outlive the object.
    owner_search(std::string zone, search_view &view, tagged_sender &sender, message_output &output,
                 reset_output &reset, flow_observer &observer, search_counters &counters);

    // Starts a search, or a new round of it, with a packet of the client. excluded is the machine
    // of an upstream that has denied the flow; 0: none.
    void search(const flow_key &key, const flow_route &route, const packet_head &head,
                base::byte_view packet, std::uint32_t excluded, base::time_point now);
    // Ends the search of a flow that the upstream holds, and forwards the packets that it has not
    // got.
    void end(const flow_key &key, const known_upstream &upstream, base::time_point now);
    // Ends the search without a result.
    void forget(const flow_key &key);
    void receiveDenial(const flow_denial &denial, std::uint32_t machine, base::time_point now);
    // Handles the answers that an agent has collected. Returns the machine of the owner if one of
    // them is a claim of a flow that is searched for, else 0.
    std::uint32_t receiveResult(const probe_result &result, base::time_point now);

    // Makes the next tick update all searches, because the list has changed.
    void listChanged(base::time_point now) { m_nextUpdate = now; }
    // The first message of an agent arrived: the next update probes its upstream, too.
    void agentFound() { m_inProgress = !m_searches.empty(); }
    // Performs the actions that are due.
    void tick(base::time_point now);
    // Time of the next action; the maximum time when there is none.
    base::time_point nextTick() const;

    // Whether a search waits for a newer list.
    bool needsNewerList() const { return m_needsRead; }
    std::size_t openSearches() const { return m_searches.size(); }

private:
    struct awaited_probe
    {
        flow_key key;
        std::uint32_t machine = 0;
        base::time_point sentAt {};
    };
    struct awaited_result
    {
        flow_key key;
        std::uint32_t requestId = 0;
        base::time_point sentAt {};
    };

    // Sends the probes of the current round that are due, as far as the window has room.
    void sendProbes(const flow_key &key, const flow_route &route, flow_search &state,
                    base::time_point now);
    // Continues the searches that wait for room in the window, the oldest first.
    void sendDueProbes(base::time_point now);
    // Requests the probes of candidates that are due from other agents, and removes these from due.
    void relayProbes(const flow_key &key, const flow_route &route, flow_search &state,
                     std::vector<search_candidate *> &due, base::time_point now);
    // Ends requests without a result; the candidates are probed from here.
    void expireRelays(base::time_point now);
    // Counts probes that were not answered in time.
    void expireProbes(base::time_point now);
    // Takes the unanswered probes of a search that ends out of the window.
    void withdrawProbes(flow_search &state);
    // Sends the other packets to candidates that have not denied the one that they got: those of a
    // restarted agent's upstream may be its.
    void sendKeptPackets(const flow_key &key, const flow_route &route, flow_search &state,
                         base::time_point now);
    // Sends one of the kept packets as a probe.
    void probe(const flow_key &key, const flow_route &route, flow_search &state,
               search_candidate &item, std::size_t packet, base::time_point now);
    // Whether the search includes the upstream.
    bool includes(const flow_route &route, const flow_search &state,
                  const known_upstream &upstream) const;
    // Whether the candidate may still hold the flow, and the search includes its upstream.
    bool isPossible(const flow_route &route, const flow_search &state,
                    const search_candidate &item) const;
    // Extends the search to the upstreams of all services.
    void widen(const flow_route &route, flow_search &state, base::time_point now);
    // Adds the upstreams of the current view that are no candidates yet; excluded counts as denied.
    void addCandidates(flow_search &state, const flow_route &route, std::uint32_t excluded,
                       base::time_point now);
    // Continues all searches and ends those that have a result or have expired.
    void updateAll(base::time_point now);
    // Continues one search. listSufficesFor tells whether a route's searches need no newer list.
    // Returns whether the search has ended; the caller removes it.
    bool update(const flow_key &key, flow_search &state,
                const std::function<bool(const flow_route &)> &listSufficesFor,
                base::time_point now);
    // Ends the search, or extends it, if all of its candidates have denied. An answer continues
    // only its own search: hundreds may be open after a loss of all machines.
    void endIfDenied(const flow_key &key, flow_search &state, base::time_point now);
    // Whether no candidate holds the flow, by the answers so far and by the current list.
    bool allDeny(const flow_route &route, const flow_search &state) const;
    // Describes the state of a search in a decision.
    flow_decision describe(decision_kind kind, const flow_key &key, const flow_search &state,
                           base::time_point now) const;
    // Time of the next missing answer or result of a probe; the maximum time when none is awaited.
    base::time_point nextProbeExpiry() const;

    const std::string m_zone;
    search_view &m_view;
    tagged_sender &m_sender;
    message_output &m_output;
    reset_output &m_reset;
    flow_observer &m_observer;
    search_counters &m_counters;

    boost::unordered_flat_map<flow_key, flow_search, flow_key_hash> m_searches;
    probe_window m_probeWindow;
    std::deque<awaited_probe> m_awaitedProbes;   // in the order of their times
    std::deque<awaited_result> m_awaitedResults; // in the order of their times
    std::uint32_t m_lastRequestId = 0;
    std::deque<flow_key> m_probeQueue; // searches that wait for room in the window
    base::time_point m_nextUpdate {};
    bool m_needsRead = false;  // a search waits for a newer list
    bool m_inProgress = false; // a search has probes to send
};

} // namespace oriolehold::flow
