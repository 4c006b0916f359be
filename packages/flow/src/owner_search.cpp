#include "oriolehold/flow/owner_search.h"

#include "oriolehold/flow/reset_reason.h"

#include <boost/unordered/unordered_flat_set.hpp>

#include <algorithm>
#include <utility>

// Candidates, answers and results of searches. probe_dispatch.cpp sends the probes.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;
using instruction = packet_tag::instruction;

constexpr base::duration searchTimeout = 4s;    // since the client's last packet
constexpr base::duration searchInterval = 20ms; // of updates of the searches
// Packets that a client sends later than this after the first one of a round are not part of the
// same burst. Clients repeat packets after 200 ms.
constexpr base::duration roundInterval = 100ms;
// After this time a search is extended to all services, although upstreams of the route's own ones
// have not answered. Clients repeat packets after 200 ms.
constexpr base::duration routedSearchTime = 200ms;
// With more searches only the last packet of each is kept: 200 searches keep up to 4 MB.
constexpr std::size_t maxSearchesThatKeepPackets = 200;

} // namespace

owner_search::owner_search(std::string zone, search_view &view, tagged_sender &sender,
                           message_output &output, reset_output &reset, flow_observer &observer,
                           search_counters &counters)
    : m_zone(std::move(zone)), m_view(view), m_sender(sender), m_output(output), m_reset(reset),
      m_observer(observer), m_counters(counters)
{ }

void owner_search::search(const flow_key &key, const flow_route &route, const packet_head &head,
                          base::byte_view packet, std::uint32_t excluded, base::time_point now)
{
    const auto [item, added] = m_searches.try_emplace(key);
    flow_search &state = item->second;
    if (added) {
        ++m_counters.searches;
        state.startedAt = now;
        m_observer.decisionMade(
                { .kind = decision_kind::searchStarted,
                  .flow = key,
                  .machine = excluded,
                  .reason = excluded == 0 ? "unknown flow" : "the owner denies the flow",
                  .configurationVersion = m_view.configurationVersion(),
                  .viewAge = now - m_view.directory().readAt() });
    }
    addCandidates(state, route, excluded, now);
    state.lastPacketAt = now;
    const auto [position, isCopy] =
            state.keep(head, packet, m_searches.size() > maxSearchesThatKeepPackets);
    // Packets that arrive together are probed once. The others reach those that stay silent.
    const bool beginsRound =
            added || (state.roundComplete && (isCopy || now - state.roundBegunAt >= roundInterval));
    if (beginsRound) {
        ++state.round;
        state.roundBegunAt = now;
        state.current = position;
        state.roundComplete = false;
    }
    sendProbes(key, route, state, now);
}

bool owner_search::includes(const flow_route &route, const flow_search &state,
                            const known_upstream &upstream) const
{
    // A probe is a packet of the client, and only an agent knows what to do with it.
    if (!upstream.agentHeard)
        return false;
    // A version that this process has not seen may have sent the route's flows to any service.
    return state.allServices || mayServe(route, upstream.record.service)
            || mayServe(route, upstream.serviceDigest());
}

void owner_search::widen(const flow_route &route, flow_search &state, base::time_point now)
{
    ++m_counters.widened;
    state.allServices = true;
    state.listReadAt = {};
    addCandidates(state, route, 0, now);
}

void owner_search::addCandidates(flow_search &state, const flow_route &route,
                                 std::uint32_t excluded, base::time_point now)
{
    const std::uint64_t version = m_view.configurationVersion();
    const auto filter = [&](const known_upstream &known) { return includes(route, state, known); };
    const std::uint64_t agentsFound = m_view.directory().agentsFound();
    if (state.listReadAt == m_view.directory().readAt() && state.configurationVersion == version
        && state.agentsFound == agentsFound)
        return;
    state.listReadAt = m_view.directory().readAt();
    state.configurationVersion = version;
    state.agentsFound = agentsFound;
    boost::unordered_flat_set<std::uint32_t> known;
    for (const search_candidate &item : state.candidates)
        known.insert(item.machine);
    for (const std::uint32_t machine : m_view.directory().possibleOwners(filter, m_zone, now)) {
        if (known.contains(machine))
            continue;
        search_candidate &added = state.candidates.emplace_back();
        added.machine = machine;
        added.denied = machine == excluded;
        state.roundComplete = false;
    }
}

flow_decision owner_search::describe(decision_kind kind, const flow_key &key,
                                     const flow_search &state, base::time_point now) const
{
    const auto isProbed = [](const search_candidate &item) {
        return item.firstProbeAt != base::time_point {};
    };
    const auto waiting = std::ranges::count_if(
            state.candidates, [](const search_candidate &item) { return !item.denied; });
    const auto unanswered =
            std::ranges::count_if(state.candidates, [&](const search_candidate &item) {
                return !item.denied && isProbed(item);
            });
    return { .kind = kind,
             .flow = key,
             .configurationVersion = m_view.configurationVersion(),
             .viewAge = now - m_view.directory().readAt(),
             .elapsed = now - state.startedAt,
             .candidates = static_cast<std::uint32_t>(state.candidates.size()),
             .probes = state.probes,
             .unprobed = static_cast<std::uint32_t>(waiting - unanswered),
             .unanswered = static_cast<std::uint32_t>(unanswered) };
}

void owner_search::end(const flow_key &key, const known_upstream &upstream, base::time_point now)
{
    const std::uint32_t machine = upstream.machine();
    const auto found = m_searches.find(key);
    if (found == m_searches.end())
        return;
    flow_search &state = found->second;
    const auto probed = std::ranges::find(state.candidates, machine, &search_candidate::machine);
    for (std::size_t i = 0; i < state.packets.size(); ++i) {
        if (probed == state.candidates.end() || !probed->received.test(i))
            m_sender.send(instruction::deliver, upstream.serviceDigest(),
                          m_view.routeOf(key.service), machine, state.packets[i].bytes);
    }
    if (probed != state.candidates.end() && state.endWait(*probed))
        m_probeWindow.answered();
    withdrawProbes(state);
    ++m_counters.found;
    flow_decision decision = describe(decision_kind::ownerFound, key, state, now);
    decision.machine = machine;
    decision.upstream = upstream.record.id;
    m_observer.decisionMade(decision);
    m_searches.erase(found);
    sendDueProbes(now);
}

void owner_search::receiveDenial(const flow_denial &denial, std::uint32_t machine,
                                 base::time_point now)
{
    const auto found = m_searches.find(denial.flow);
    const flow_route *route = m_view.routeOf(denial.flow.service);
    if (found == m_searches.end() || route == nullptr)
        return;
    flow_search &state = found->second;
    if (denial.misdirected) {
        // The list here is older than the upstream; the agent names the upstream's present service.
        m_sender.send(instruction::probe, denial.serviceDigest, route, machine,
                      state.currentPacket().bytes);
        ++state.probes;
        ++m_counters.probes;
        return;
    }
    const auto item = std::ranges::find(state.candidates, machine, &search_candidate::machine);
    if (item == state.candidates.end())
        return;
    item->denied = true;
    if (state.endWait(*item))
        m_probeWindow.answered();
    endIfDenied(denial.flow, state, now);
    sendDueProbes(now);
}

bool owner_search::allDeny(const flow_route &route, const flow_search &state) const
{
    return std::ranges::none_of(state.candidates, [&](const search_candidate &item) {
        return isPossible(route, state, item) && !m_view.directory().holdsNoFlows(item.machine);
    });
}

void owner_search::forget(const flow_key &key)
{
    const auto found = m_searches.find(key);
    if (found == m_searches.end())
        return;
    withdrawProbes(found->second);
    m_searches.erase(found);
}

void owner_search::tick(base::time_point now)
{
    expireProbes(now);
    expireRelays(now);
    sendDueProbes(now);
    // A claim may have ended the last search; the update stops the wake-ups.
    const bool searching = !m_searches.empty() || m_needsRead || m_inProgress;
    if (searching && now >= m_nextUpdate)
        updateAll(now);
}

base::time_point owner_search::nextTick() const
{
    const base::time_point next = nextProbeExpiry();
    return m_needsRead || m_inProgress ? std::min(next, m_nextUpdate) : next;
}

void owner_search::updateAll(base::time_point now)
{
    m_nextUpdate = now + searchInterval;
    m_needsRead = false;
    m_inProgress = false;
    // Thousands of searches may have the same route.
    boost::unordered_flat_map<const flow_route *, bool> complete;
    const auto listSufficesFor = [&](const flow_route &route) {
        const auto [item, added] = complete.try_emplace(&route, false);
        if (added)
            item->second = m_view.listIsComplete(route, now);
        return item->second;
    };
    boost::unordered::erase_if(m_searches, [&](auto &item) {
        return update(item.first, item.second, listSufficesFor, now);
    });
    sendDueProbes(now);
}

void owner_search::endIfDenied(const flow_key &key, flow_search &state, base::time_point now)
{
    if (!std::ranges::all_of(state.candidates, &search_candidate::denied))
        return;
    const auto listSufficesFor = [&](const flow_route &route) {
        return m_view.listIsComplete(route, now);
    };
    if (update(key, state, listSufficesFor, now))
        m_searches.erase(flow_key(key));
}

bool owner_search::update(const flow_key &key, flow_search &state,
                          const std::function<bool(const flow_route &)> &listSufficesFor,
                          base::time_point now)
{
    const flow_route *route = m_view.routeOf(key.service);
    if (route == nullptr || now - state.lastPacketAt > searchTimeout) {
        ++m_counters.abandoned;
        m_observer.decisionMade(describe(decision_kind::searchEnded, key, state, now));
        withdrawProbes(state);
        return true;
    }
    addCandidates(state, *route, 0, now);
    if (!state.allServices && (allDeny(*route, state) || now - state.startedAt >= routedSearchTime))
        widen(*route, state, now);
    if (state.packetsDue)
        sendKeptPackets(key, *route, state, now);
    if (!state.roundComplete && !state.queued) {
        state.queued = true;
        m_probeQueue.push_back(key);
    }
    m_inProgress = m_inProgress || !state.roundComplete || state.packetsDue;
    if (!allDeny(*route, state))
        return false;
    // If all possible owners deny the flow, by a list that was read after the search began, the
    // flow does not exist. An older list may lack upstreams that are in the views of others, unless
    // these do not use them yet.
    const bool listIsNewer = m_view.directory().readAt() > state.startedAt;
    const bool listSuffices = listIsNewer || listSufficesFor(*route);
    m_needsRead = m_needsRead || !listSuffices;
    if (!listSuffices || m_view.listMayLackUpstreams(now) || m_view.awaitsAgents())
        return false;
    m_counters.waitsAvoided += listIsNewer ? 0 : 1;
    m_reset.resetClient(state.currentPacket().head,
                        listIsNewer ? reset_counters::absent : reset_counters::absentByKnownList,
                        now);
    withdrawProbes(state);
    return true;
}

} // namespace oriolehold::flow
