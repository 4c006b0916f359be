#include "oriolehold/flow/entry_balancer.h"

#include <algorithm>

// The part of entry_balancer that searches for the upstream of a flow that is not in its table.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;
using instruction = packet_tag::instruction;

constexpr base::duration searchTimeout = 4s; // since the client's last packet
// Probes sent for one packet. They reach all upstreams of a small service. In a large service,
// later packets of the flow reach the others.
constexpr std::size_t probesPerPacket = 12;

} // namespace

void entry_balancer::sendProbes(const flow_key &key, const flow_route &route,
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
    addCandidates(state, route, excluded);
    state.lastPacketAt = now;
    state.lastHead = head;
    std::size_t sent = 0;
    for (std::size_t i = 0; i < state.candidates.size() && sent < probesPerPacket; ++i) {
        candidate &entry = state.candidates[i];
        const known_upstream *known = m_directory.find(entry.machine);
        if (entry.denied || known == nullptr)
            continue;
        sendTagged(instruction::probe, serviceDigest(known->record.service), &route, entry.machine,
                   packet);
        entry.probed = true;
        ++state.probes;
        ++sent;
        ++m_counters.probes;
    }
}

void entry_balancer::addCandidates(search &state, const flow_route &route, std::uint32_t excluded)
{
    const std::uint64_t version = m_view.configuration().version;
    if (state.listReadAt == m_directory.readAt() && state.configurationVersion == version)
        return;
    state.listReadAt = m_directory.readAt();
    state.configurationVersion = version;
    boost::unordered_flat_set<std::uint32_t> known;
    for (const candidate &item : state.candidates)
        known.insert(item.machine);
    for (const std::uint32_t machine : m_directory.possibleOwners(route, m_identity.zone)) {
        if (!known.contains(machine))
            state.candidates.push_back({ machine, false, machine == excluded });
    }
}

flow_decision entry_balancer::describe(decision_kind kind, const flow_key &key, const search &state,
                                       base::time_point now) const
{
    const auto unprobed = std::ranges::count_if(
            state.candidates, [](const candidate &item) { return !item.probed && !item.denied; });
    const auto unanswered = std::ranges::count_if(
            state.candidates, [](const candidate &item) { return item.probed && !item.denied; });
    return { .kind = kind,
             .flow = key,
             .configurationVersion = m_view.configuration().version,
             .viewAge = now - m_directory.readAt(),
             .elapsed = now - state.startedAt,
             .candidates = static_cast<std::uint32_t>(state.candidates.size()),
             .probes = state.probes,
             .unprobed = static_cast<std::uint32_t>(unprobed),
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
    ++m_counters.found;
    flow_decision decision = describe(decision_kind::ownerFound, key, found->second, now);
    decision.machine = machine;
    decision.upstream = known->record.id;
    m_observer.decisionMade(decision);
    m_searches.erase(found);
}

void entry_balancer::receiveDenial(const flow_denial &denial, std::uint32_t machine)
{
    const auto found = m_searches.find(denial.flow);
    if (found == m_searches.end())
        return;
    const flow_route *route = routeOf(denial.flow.service);
    // An upstream that was probed for a former service of its address may hold the flow. A later
    // packet probes it again when the list names its present service.
    if (denial.misdirected && route != nullptr && mayServe(*route, denial.serviceDigest))
        return;
    const auto item = std::ranges::find(found->second.candidates, machine, &candidate::machine);
    if (item != found->second.candidates.end())
        item->denied = true;
}

void entry_balancer::concludeSearches(base::time_point now)
{
    m_searchNeedsRead = false;
    boost::unordered::erase_if(m_searches, [&](const auto &item) {
        const flow_key &key = item.first;
        const search &state = item.second;
        const flow_route *route = routeOf(key.service);
        if (route == nullptr || now - state.lastPacketAt > searchTimeout) {
            ++m_counters.abandoned;
            m_observer.decisionMade(describe(decision_kind::searchEnded, key, state, now));
            return true;
        }
        const auto owners = m_directory.possibleOwners(*route, m_identity.zone);
        const bool allDeny = std::ranges::all_of(owners, [&](std::uint32_t machine) {
            if (m_directory.holdsNoFlows(machine, now))
                return true;
            const auto found = std::ranges::find(state.candidates, machine, &candidate::machine);
            return found != state.candidates.end() && found->denied;
        });
        if (!allDeny)
            return false;
        // If all possible owners deny the flow, by a list that was read after the search began, the
        // flow does not exist. An older list may lack upstreams that are in the views of others.
        const bool listIsNewer = m_directory.readAt() > state.startedAt;
        m_searchNeedsRead = m_searchNeedsRead || !listIsNewer;
        if (listIsNewer)
            resetClient(state.lastHead, "no upstream holds the flow", now);
        return listIsNewer;
    });
}

} // namespace oriolehold::flow
