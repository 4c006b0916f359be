#include "oriolehold/flow/entry_balancer.h"

#include <algorithm>
#include <span>

// The part of entry_balancer that searches for the upstream of a flow that is not in its table.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;
using instruction = packet_tag::instruction;

constexpr base::duration searchTimeout = 4s; // since the client's last packet
// Probes of a search that wait for an answer. Each answer, or the timeout of a probe, lets the
// search send another one, so that it reaches all upstreams within milliseconds.
constexpr std::ptrdiff_t maxOutstandingProbes = 12;
// An agent answers within a few milliseconds. Upstreams that take longer may still answer, but the
// search does not wait for them.
constexpr base::duration probeTimeout = 20ms;
constexpr base::duration searchInterval = probeTimeout; // of updates of the searches
// Candidates of a search that get the other packets because they did not deny the first one.
constexpr std::size_t maxSuspects = 4;
// With more searches only the last packet of each is kept: 200 searches keep up to 4 MB.
constexpr std::size_t maxSearchesThatKeepPackets = 200;

} // namespace

void entry_balancer::searchOwner(const flow_key &key, const flow_route &route,
                                 const packet_head &head, base::byte_view packet,
                                 std::uint32_t excluded, base::time_point now)
{
    const auto [item, added] = m_searches.try_emplace(key);
    search &state = item->second;
    if (added) {
        ++m_counters.searches;
        state.startedAt = now;
        m_observer.decisionMade(
                { .kind = decision_kind::searchStarted,
                  .flow = key,
                  .machine = excluded,
                  .reason = excluded == 0 ? "unknown flow" : "the owner denies the flow",
                  .configurationVersion = m_view.configuration().version,
                  .viewAge = now - m_directory.readAt() });
    }
    addCandidates(state, route, excluded, now);
    state.lastPacketAt = now;
    ++state.round;
    keepPacket(state, head, packet);
    state.roundComplete = false;
    sendProbes(route, state, now);
}

void entry_balancer::keepPacket(search &state, const packet_head &head, base::byte_view packet)
{
    const auto isCopy = [&](const kept_packet &item) {
        return item.head.sequence == head.sequence && item.head.payloadSize == head.payloadSize
                && item.head.finishes == head.finishes;
    };
    auto kept = std::ranges::find_if(state.packets, isCopy);
    const bool isNew = kept == state.packets.end();
    const bool hasRoom = state.packets.empty()
            || (state.packets.size() < maxKeptPackets
                && m_searches.size() <= maxSearchesThatKeepPackets);
    if (isNew && hasRoom)
        kept = state.packets.emplace(kept);
    else if (isNew)
        kept = std::prev(kept);
    kept->head = head;
    kept->bytes.assign(packet.begin(), packet.end());
    state.current = static_cast<std::size_t>(kept - state.packets.begin());
    if (isNew && !hasRoom)
        std::ranges::for_each(state.candidates,
                              [&](candidate &item) { item.received.reset(state.current); });
}

bool entry_balancer::isPossible(const flow_route &route, const candidate &item) const
{
    const known_upstream *known = m_directory.find(item.machine);
    return !item.denied && known != nullptr && mayServe(route, known->record.service);
}

void entry_balancer::probe(const flow_route &route, search &state, candidate &item,
                           std::size_t packet, base::time_point now)
{
    const known_upstream *known = m_directory.find(item.machine);
    sendTagged(instruction::probe, serviceDigest(known->record.service), &route, item.machine,
               state.packets[packet].bytes);
    item.received.set(packet);
    item.lastProbeAt = now;
    if (item.firstProbeAt == base::time_point {})
        item.firstProbeAt = now;
    ++state.probes;
    ++m_counters.probes;
}

void entry_balancer::sendKeptPackets(const flow_route &route, search &state, base::time_point now)
{
    state.packetsDue = false;
    std::size_t suspects = 0;
    for (candidate &item : state.candidates) {
        if (item.firstProbeAt == base::time_point {}
            || item.received.count() >= state.packets.size() || !isPossible(route, item))
            continue;
        if (now - item.firstProbeAt < probeTimeout) {
            state.packetsDue = true;
            continue;
        }
        if (++suspects > maxSuspects)
            return;
        for (std::size_t i = 0; i < state.packets.size(); ++i) {
            if (!item.received.test(i))
                probe(route, state, item, i, now);
        }
    }
}

void entry_balancer::sendProbes(const flow_route &route, search &state, base::time_point now)
{
    const auto isOutstanding = [&](const candidate &item) {
        return !item.denied && item.round == state.round && now - item.lastProbeAt < probeTimeout;
    };
    const auto isDue = [&](const candidate &item) {
        return item.round < state.round && isPossible(route, item);
    };
    // Upstreams that did not answer an earlier round come last, so that they do not delay the
    // probes of the others.
    const auto rank = [&](const candidate *item) {
        const bool silent = item->firstProbeAt != base::time_point {}
                && now - item->firstProbeAt >= probeTimeout;
        return silent ? item->lastProbeAt : base::time_point {};
    };
    std::vector<candidate *> due;
    for (candidate &item : state.candidates) {
        if (isDue(item))
            due.push_back(&item);
    }
    std::ranges::stable_sort(due, {}, rank);
    const auto outstanding = std::ranges::count_if(state.candidates, isOutstanding);
    const auto allowed = static_cast<std::size_t>(
            std::max<std::ptrdiff_t>(maxOutstandingProbes - outstanding, 0));
    state.roundComplete = due.size() <= allowed;
    for (candidate *item : std::span(due).first(std::min(allowed, due.size()))) {
        probe(route, state, *item, state.current, now);
        item->round = state.round;
    }
    sendKeptPackets(route, state, now);
    m_searchInProgress = m_searchInProgress || !state.roundComplete || state.packetsDue;
}

void entry_balancer::addCandidates(search &state, const flow_route &route, std::uint32_t excluded,
                                   base::time_point now)
{
    const std::uint64_t version = m_view.configuration().version;
    if (state.listReadAt == m_directory.readAt() && state.configurationVersion == version)
        return;
    state.listReadAt = m_directory.readAt();
    state.configurationVersion = version;
    boost::unordered_flat_set<std::uint32_t> known;
    for (const candidate &item : state.candidates)
        known.insert(item.machine);
    for (const std::uint32_t machine : m_directory.possibleOwners(route, m_identity.zone, now)) {
        if (known.contains(machine))
            continue;
        candidate &added = state.candidates.emplace_back();
        added.machine = machine;
        added.denied = machine == excluded;
        state.roundComplete = false;
    }
}

flow_decision entry_balancer::describe(decision_kind kind, const flow_key &key, const search &state,
                                       base::time_point now) const
{
    const auto isProbed = [](const candidate &item) {
        return item.firstProbeAt != base::time_point {};
    };
    const auto waiting = std::ranges::count_if(state.candidates,
                                               [](const candidate &item) { return !item.denied; });
    const auto unanswered = std::ranges::count_if(state.candidates, [&](const candidate &item) {
        return !item.denied && isProbed(item);
    });
    return { .kind = kind,
             .flow = key,
             .configurationVersion = m_view.configuration().version,
             .viewAge = now - m_directory.readAt(),
             .elapsed = now - state.startedAt,
             .candidates = static_cast<std::uint32_t>(state.candidates.size()),
             .probes = state.probes,
             .unprobed = static_cast<std::uint32_t>(waiting - unanswered),
             .unanswered = static_cast<std::uint32_t>(unanswered) };
}

void entry_balancer::receiveClaim(const flow_key &key, std::uint32_t machine, base::time_point now)
{
    const known_upstream *known = m_directory.find(machine);
    if (known == nullptr)
        return; // the list with this upstream has not arrived yet; a later packet starts a search
    owner &item = m_owners[key];
    if (item.confirmed && item.machine != machine) {
        ++m_counters.changed;
        m_observer.decisionMade({ .kind = decision_kind::ownerChanged,
                                  .flow = key,
                                  .machine = machine,
                                  .formerMachine = item.machine,
                                  .upstream = known->record.id });
    }
    item.machine = machine;
    item.lastSeen = base::unixSeconds(now);
    item.serviceDigest = serviceDigest(known->record.service);
    item.confirmed = true;
    const auto found = m_searches.find(key);
    if (found == m_searches.end())
        return;
    const search &state = found->second;
    const auto probed = std::ranges::find(state.candidates, machine, &candidate::machine);
    for (std::size_t i = 0; i < state.packets.size(); ++i) {
        if (probed == state.candidates.end() || !probed->received.test(i))
            forward(item, key.service, state.packets[i].bytes);
    }
    ++m_counters.found;
    flow_decision decision = describe(decision_kind::ownerFound, key, state, now);
    decision.machine = machine;
    decision.upstream = known->record.id;
    m_observer.decisionMade(decision);
    m_searches.erase(found);
}

void entry_balancer::receiveDenial(const flow_denial &denial, std::uint32_t machine,
                                   base::time_point now)
{
    // A denial may arrive after a claim that the agent sent before it.
    const auto known = m_owners.find(denial.flow);
    if (known != m_owners.end() && known->second.machine == machine && !denial.misdirected)
        m_owners.erase(known);
    const auto found = m_searches.find(denial.flow);
    const flow_route *route = routeOf(denial.flow.service);
    if (found == m_searches.end() || route == nullptr)
        return;
    search &state = found->second;
    if (denial.misdirected && mayServe(*route, denial.serviceDigest)) {
        // The list here is older than the upstream; the agent names the upstream's present service.
        sendTagged(instruction::probe, denial.serviceDigest, route, machine,
                   state.packets[state.current].bytes);
        ++state.probes;
        ++m_counters.probes;
        return;
    }
    const auto item = std::ranges::find(state.candidates, machine, &candidate::machine);
    if (item == state.candidates.end())
        return;
    item->denied = true;
    if (!state.roundComplete)
        sendProbes(*route, state, now);
    if (std::ranges::all_of(state.candidates, &candidate::denied))
        m_nextSearchUpdate = now;
}

bool entry_balancer::mayHoldFlow(const flow_route &route, std::uint32_t machine) const
{
    const known_upstream *known = m_directory.find(machine);
    return known != nullptr && mayServe(route, known->record.service)
            && !m_directory.holdsNoFlows(machine);
}

bool entry_balancer::allDeny(const flow_route &route, const search &state) const
{
    return std::ranges::none_of(state.candidates, [&](const candidate &item) {
        return !item.denied && mayHoldFlow(route, item.machine);
    });
}

void entry_balancer::updateSearches(base::time_point now)
{
    m_nextSearchUpdate = now + searchInterval;
    m_searchNeedsRead = false;
    m_searchInProgress = false;
    boost::unordered::erase_if(m_searches, [&](auto &item) {
        const flow_key &key = item.first;
        search &state = item.second;
        const flow_route *route = routeOf(key.service);
        if (route == nullptr || now - state.lastPacketAt > searchTimeout) {
            ++m_counters.abandoned;
            m_observer.decisionMade(describe(decision_kind::searchEnded, key, state, now));
            return true;
        }
        addCandidates(state, *route, 0, now);
        if (!state.roundComplete || state.packetsDue)
            sendProbes(*route, state, now);
        if (!allDeny(*route, state))
            return false;
        // If all possible owners deny the flow, by a list that was read after the search began, the
        // flow does not exist. An older list may lack upstreams that are in the views of others.
        const bool listIsNewer = m_directory.readAt() > state.startedAt;
        m_searchNeedsRead = m_searchNeedsRead || !listIsNewer;
        // The upstream of an agent that reports although it is not listed may register again.
        const bool listMayBeIncomplete =
                std::ranges::any_of(m_unlistedAgents, [&](const auto &agent) {
                    return now - agent.second < upstream_directory::reregistrationTime;
                });
        if (!listIsNewer || listMayBeIncomplete)
            return false;
        resetClient(state.packets[state.current].head, "no upstream holds the flow", now);
        return true;
    });
}

} // namespace oriolehold::flow
