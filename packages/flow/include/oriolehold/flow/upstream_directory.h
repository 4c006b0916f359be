#pragma once

#include "oriolehold/flow/peer_message.h"
#include "oriolehold/flow/routing_view.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>

// The upstreams that an entry instance knows, with what their agents report.

namespace oriolehold::flow {

// An upstream and the machine that it shares with its agent.
struct known_upstream
{
    upstream_record record;
    bool listed = true; // in the newest list
    base::time_point seenInList {};
    base::time_point warmUpEndsAt {};
    load_report report;
    base::time_point reportedAt {}; // epoch: never
    std::uint32_t assignedSinceReport = 0;
    base::time_point avoidUntil {}; // it refused an opening packet shortly before

    std::uint32_t machine() const { return record.address.address; }
};

struct directory_change
{
    enum class kind : std::uint8_t { added, removed, phaseChanged, restarted } what;
    std::string id;
    base::endpoint address;
};

class upstream_directory
{
public:
    // Lapsed entries of living upstreams come back within this time after an outage of the store.
    static constexpr std::chrono::milliseconds reregistrationTime { 2500 };
    // A removed upstream may still hold flows; the search for an owner includes it for this time.
    static constexpr std::chrono::seconds removedRetention { 20 };
    // An upstream that is not listed for so long, and whose agent is silent or gets no answer from
    // it, holds no flow any more.
    static constexpr std::chrono::milliseconds unlistedTimeout { 500 };
    // Five missed reports.
    static constexpr std::chrono::milliseconds agentTimeout { 1000 };
    // A gap between two lists that counts as an outage of the store.
    static constexpr std::chrono::milliseconds outageGap { 2500 };

    // Takes a list that was read at readAt. Lists that are older than the present one are ignored,
    // and false is returned.
    bool update(const upstream_list &list, base::time_point readAt, base::time_point now,
                const std::function<void(const directory_change &)> &onChange);
    void report(std::uint32_t machine, const load_report &report, base::time_point now);

    known_upstream *find(std::uint32_t machine);
    const known_upstream *find(std::uint32_t machine) const;
    // Upstreams that may take new flows of the service.
    std::vector<known_upstream *> eligible(std::string_view service);
    // All machines that may hold a flow of one of the services, likely ones first.
    std::vector<std::uint32_t> possibleOwners(const flow_route &route, std::string_view zone) const;
    // Whether the upstream on the machine is known to hold no flow.
    bool holdsNoFlows(std::uint32_t machine, base::time_point now) const;
    std::vector<std::uint32_t> machines() const;

    bool empty() const { return m_upstreams.empty(); }
    std::uint64_t revision() const { return m_revision; }
    // Time of the read that the view rests on; epoch before the first.
    base::time_point readAt() const { return m_readAt; }

private:
    boost::unordered_flat_map<std::uint32_t, known_upstream> m_upstreams; // by machine address
    std::uint64_t m_revision = 0;
    base::time_point m_readAt {};
    base::time_point m_outageEndedAt {};
};

} // namespace oriolehold::flow
