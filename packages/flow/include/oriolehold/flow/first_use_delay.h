#pragma once

#include "oriolehold/flow/upstream_directory.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <span>
#include <vector>

// Delays the first use of an upstream until the lists of all entry instances have its address. A
// list that is younger than the delay then lacks no upstream that another instance uses, so a
// search for the owner of a flow may rely on it.

namespace oriolehold::flow {

class first_use_delay
{
public:
    // An entry whose upstream started this time and the delay before has been in the store for the
    // delay: upstreams register within 5 s, and clocks differ by up to base::maxClockSkew.
    static constexpr std::chrono::seconds longStartTime { 10 };
    // Lists are used up to the delay less this time. Covers packets in flight and late processing.
    static constexpr std::chrono::milliseconds margin { 200 };
    // A longer time between two calls of observe() means that the process has stalled. Its sockets
    // may hold lists that are older than they seem.
    static constexpr std::chrono::milliseconds stallTime { 100 };
    // An instance that starts now knows the upstreams that started longStartTime and the delay
    // before, and uses all if it knows none. An address that has been listed here for this time and
    // the delay is known to each such instance.
    static constexpr std::chrono::seconds knownToAllTime = longStartTime + base::maxClockSkew;
    // With a single one, its end and the start of another one may lie between two lists.
    static constexpr std::size_t leastKnownUpstreams = 2;

    using record_filter = upstream_directory::record_filter;

    // A delay of 0 means that upstreams are used at once, and that no list is current.
    explicit first_use_delay(std::chrono::milliseconds delay) : m_delay(delay) { }

    bool enabled() const { return m_delay > base::duration::zero(); }
    // Is called at intervals shorter than stallTime.
    void observe(base::time_point now);
    // Notes the addresses of a list that was read at readAt. Entries that do not pass the filter
    // are not searched, so they do not make an address known.
    void update(const upstream_list &list, base::time_point readAt, base::time_point now,
                const record_filter &isKnownService);
    // Whether new flows may go to the address: it has been in the lists for the delay, or the first
    // list has an entry of a long-started upstream with it.
    bool isKnown(std::uint32_t machine, base::time_point now) const;
    // Removes candidates whose addresses are not known, unless none is known. Returns whether it
    // removed any.
    bool removeUnknown(std::vector<known_upstream *> &candidates, base::time_point now) const;
    // Whether no instance uses an upstream that the last list lacks. candidates are the upstreams
    // in the list that take flows of one service.
    bool isComplete(std::span<known_upstream *const> candidates, base::time_point now) const;

private:
    struct listed_address
    {
        base::time_point knownAt {};      // here
        base::time_point knownToAllAt {}; // to instances that start later, too
        base::time_point seenInList {};   // read time of the last list that has it
        base::time_point removedAt {};    // arrival of the first list without it
        bool listed = true;
    };

    // The address if the last list has it.
    const listed_address *find(std::uint32_t machine) const;
    // Whether the upstream started at least the time before the read.
    static bool isStartedFor(const upstream_record &record, base::duration time,
                             base::time_point readAt);

    const base::duration m_delay;
    boost::unordered_flat_map<std::uint32_t, listed_address> m_addresses; // by machine
    store_revision m_revision;
    base::time_point m_readAt {};
    base::time_point m_firstReadAt {}; // of the first list
    base::time_point m_observedAt {};
    base::time_point m_stallEndedAt {};
    // Entries that lapsed in an outage of the store, or were lost in a restore, may be missing.
    base::time_point m_incompleteUntil {};
};

} // namespace oriolehold::flow
