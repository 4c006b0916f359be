#pragma once

#include "oriolehold/flow/opening_share.h"
#include "oriolehold/flow/peer_message.h"
#include "oriolehold/flow/routing_view.h"
#include "oriolehold/flow/wait_forecast.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>

// Keeps the upstreams of an entry instance, with the reports of their agents.

namespace oriolehold::flow {

// An upstream and the state of the agent on its machine.
struct known_upstream
{
    upstream_record record;
    bool listed = true; // in the newest list, or missing for a short time after an outage
    // One of several entries for the same start of the upstream says that it drains.
    bool anyEntryDrains = false;
    base::time_point seenInList {}; // read time of the last list that has it
    base::time_point removedAt {};  // when it ceased to be listed
    base::time_point warmUpEndsAt {};
    // Digest of the service that the agent announced; empty: none so far.
    std::optional<std::uint32_t> announcedService;
    load_report report;
    base::time_point reportedAt {};          // arrival of the report; epoch: never
    capacity_report capacity;                // without limits unless the agent states some
    base::time_point capacityAt {};          // arrival of the capacity report; epoch: never
    std::uint32_t assignedSinceCapacity = 0; // flows, since the capacity report
    opening_share share;                     // while its agent limits the opening packets
    wait_forecast forecast;                  // while its agent reports expected waits
    bool inEvacuatedZone = false;
    base::time_point heardAt {}; // last message of its agent, at first when it was added
    // An agent on the machine has sent a message. Until then the machine gets no packets of
    // clients: entries of other writers name any address.
    bool agentHeard = false;
    std::uint32_t unansweredHellos = 0;    // sent while no agent has been heard
    base::time_point greetedAt {};         // last hello; epoch: none
    std::uint32_t assignedSinceReport = 0; // flows
    base::time_point avoidUntil {};        // set after it refused an opening packet

    // IPv4 address.
    std::uint32_t machine() const { return record.address.address; }
    // Of the service of the agent, as far as it is known, else of the entry.
    std::uint32_t serviceDigest() const
    {
        return announcedService.value_or(flow::serviceDigest(record.service));
    }
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
    // Upstreams whose entries lapsed in an outage of the store, or are missing in the copy that it
    // was restored from, register again this soon after it.
    static constexpr std::chrono::milliseconds reregistrationTime { 2500 };
    // A removed upstream may still hold flows. The search for an owner includes it for this time.
    static constexpr std::chrono::seconds removedRetention { 20 };
    // An upstream that has been unlisted for this time holds no flow any more if its agent is
    // silent or gets no answers from it.
    static constexpr std::chrono::milliseconds unlistedTimeout { 500 };
    // Five missed reports, while messages of other agents arrive.
    static constexpr std::chrono::milliseconds agentTimeout { 1000 };
    // A list from another process counts as older than it is, by up to the longest transfer. A
    // warm-up counts as longer by this time, so that it does not end early.
    static constexpr std::chrono::milliseconds warmUpMargin { 100 };
    // A longer gap between the reads of two lists counts as an outage of the store.
    static constexpr std::chrono::milliseconds outageGap { 2500 };

    using record_filter = std::function<bool(const upstream_record &)>;
    using upstream_filter = std::function<bool(const known_upstream &)>;

    // Applies a list that was read at readAt. isKnownService tells whether the configuration has
    // the service of an entry. Returns false, and ignores the list, if it is older than the current
    // one.
    bool update(const upstream_list &list, base::time_point readAt, base::time_point now,
                const record_filter &isKnownService,
                const std::function<void(const directory_change &)> &onChange);
    // Stores the report of the agent on the machine; ignored if the machine is unknown.
    void report(std::uint32_t machine, const load_report &report, base::time_point now);
    // coldRate is the published rate of the upstream's service in its warm-up; 0: unknown.
    void reportCapacity(std::uint32_t machine, const capacity_report &report, double coldRate,
                        base::time_point now);
    // Sets the evacuated zones. Those of a former era of the store stay evacuated for
    // reregistrationTime after its end, because the store may have been restored from an older
    // copy. The reader leaves out zones without an upstream in its list, so a zone whose upstreams
    // are kept while they register again stays evacuated until the list has one of them.
    void setEvacuation(const zone_evacuation &evacuation, base::time_point now);
    // Zones that are evacuated, sorted.
    const std::vector<std::string> &evacuatedZones() const { return m_evacuatedZones; }
    // Whether the zone of an upstream with this service is evacuated, or its agent says so.
    bool hasEvacuated(std::string_view service) const;
    // Stores the service that the agent on the machine announced; ignored if the machine is
    // unknown. Returns whether another entry of the machine may count now, so that the list must be
    // applied again.
    bool announce(std::uint32_t machine, std::uint32_t serviceDigest);
    // The agent on the machine sent a message; ignored if the machine is unknown.
    void hear(std::uint32_t machine, base::time_point now);
    // A hello was sent to the machine; ignored if the machine is unknown.
    void greet(std::uint32_t machine, base::time_point now);
    // Number of first messages of agents so far. It changes when further machines may get packets
    // of clients.
    std::uint64_t agentsFound() const { return m_agentsFound; }
    // Upstreams whose agents have sent no message so far.
    std::size_t unheardAgents() const { return m_unheardAgents; }
    // Whether any upstream without a message of its agent passes the filter.
    bool anyUnheard(const upstream_filter &filter) const;
    // Time of the last message of any agent that the directory has; epoch: none.
    base::time_point heardAt() const { return m_heardAt; }

    known_upstream *find(std::uint32_t machine);
    const known_upstream *find(std::uint32_t machine) const;
    static bool isEvacuated(const known_upstream &upstream);
    // Whether the upstream may take new flows of its service.
    static bool mayTakeFlows(const known_upstream &upstream);
    // Returns the upstreams that may take new flows of the service and whose agents were heard.
    std::vector<known_upstream *> eligible(std::string_view service);
    // Returns the machines of the upstreams that pass the filter: first those whose agents are
    // heard, of these the listed ones, of these those in zone.
    std::vector<std::uint32_t> possibleOwners(const upstream_filter &filter, std::string_view zone,
                                              base::time_point now) const;
    // Whether a report of the agent arrived recently.
    static bool isHeard(const known_upstream &upstream, base::time_point now);
    // Whether the upstream on the machine certainly holds no flow. True for an unknown machine.
    bool holdsNoFlows(std::uint32_t machine) const;
    std::vector<std::uint32_t> machines() const;

    bool empty() const { return m_upstreams.empty(); }
    // Of the store, at the read of the current list.
    store_revision revision() const { return m_revision; }
    // Time of the read that the current list comes from; epoch before the first.
    base::time_point readAt() const { return m_readAt; }

private:
    // How far an entry is known to be that of the upstream on its machine, rather than one of
    // another writer. Higher ones count before lower ones.
    struct credibility
    {
        bool isAnnounced = false;    // the agent announced the service
        bool isKnownService = false; // the configuration has the service

        auto operator<=>(const credibility &) const = default; // NOLINT(modernize-use-nullptr)
    };

    // The entry that counts for a machine.
    struct listed_record
    {
        const upstream_record *record = nullptr;
        bool anyDrains = false; // one of the entries of the same start does
    };

    static credibility credibilityOf(const upstream_record &record, const known_upstream *known,
                                     const record_filter &isKnownService);
    // Whether the zone has upstreams here and none in the last list.
    bool isAbsentFromList(std::string_view zone) const;
    // Returns one entry for each machine.
    std::vector<listed_record> recordsByMachine(const upstream_list &list,
                                                const record_filter &isKnownService) const;

    boost::unordered_flat_map<std::uint32_t, known_upstream> m_upstreams; // by machine address
    store_revision m_revision;
    base::time_point m_readAt {};
    base::time_point m_outageEndedAt {}; // or restore; epoch: none so far
    base::time_point m_heardAt {};       // last message of any agent
    std::uint64_t m_agentsFound = 0;
    std::size_t m_unheardAgents = 0;
    zone_evacuation m_evacuation;             // as set last
    std::vector<std::string> m_restoredZones; // of a former era
    base::time_point m_restoredZonesUntil {};
    std::vector<std::string> m_evacuatedZones;
};

} // namespace oriolehold::flow
