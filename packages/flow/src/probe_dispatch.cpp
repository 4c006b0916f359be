#include "oriolehold/flow/owner_search.h"

#include "oriolehold/base/hash.h"

#include <algorithm>
#include <span>

// The part of owner_search that sends the probes, directly or through agents, as far as the window
// of probes has room.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;
using instruction = packet_tag::instruction;

// Probes of a search that wait for an answer. Each answer, or the timeout of a probe, lets the
// search send another one, so that it reaches all upstreams within milliseconds.
constexpr std::size_t maxOutstandingProbes = 12;
// An agent answers within a few milliseconds. Upstreams that take longer may still answer, but the
// search does not wait for them.
constexpr base::duration probeTimeout = probe_window::answerTimeout;
// An agent that probes on behalf of this instance returns the result after
// probe_relay::answerTimeout at the latest.
constexpr base::duration relayTimeout = 60ms;
// After so many missing results a search sends its probes from here: the agents may be older.
constexpr unsigned maxRelayFailures = 3;
// Candidates of a search that get the other packets because they did not deny the first one.
constexpr std::size_t maxSuspects = 4;

} // namespace

bool owner_search::isPossible(const flow_route &route, const flow_search &state,
                              const search_candidate &item) const
{
    if (item.denied)
        return false;
    const known_upstream *known = m_view.directory().find(item.machine);
    return known != nullptr && includes(route, state, *known);
}

void owner_search::probe(const flow_key &key, const flow_route &route, flow_search &state,
                         search_candidate &item, std::size_t packet, base::time_point now)
{
    const known_upstream *known = m_view.directory().find(item.machine);
    m_sender.send(instruction::probe, known->serviceDigest(), &route, item.machine,
                  state.packets[packet].bytes);
    item.received.set(packet);
    item.lastProbeAt = now;
    if (item.firstProbeAt == base::time_point {})
        item.firstProbeAt = now;
    if (item.awaitedSince == base::time_point {}) {
        item.awaitedSince = now;
        ++state.awaitedProbes;
        m_probeWindow.sent();
        m_awaitedProbes.push_back({ key, item.machine, now });
    }
    ++state.probes;
    ++m_counters.probes;
}

void owner_search::sendKeptPackets(const flow_key &key, const flow_route &route, flow_search &state,
                                   base::time_point now)
{
    state.packetsDue = false;
    std::size_t suspects = 0;
    for (search_candidate &item : state.candidates) {
        if (item.firstProbeAt == base::time_point {}
            || item.received.count() >= state.packets.size() || !isPossible(route, state, item))
            continue;
        if (item.relayed || now - item.firstProbeAt < probeTimeout) {
            state.packetsDue = true;
            continue;
        }
        if (++suspects > maxSuspects)
            return;
        if (m_probeWindow.room() == 0) {
            state.packetsDue = true;
            return;
        }
        for (std::size_t i = 0; i < state.packets.size(); ++i) {
            if (!item.received.test(i))
                probe(key, route, state, item, i, now);
        }
    }
}

void owner_search::sendProbes(const flow_key &key, const flow_route &route, flow_search &state,
                              base::time_point now)
{
    const auto isDue = [&](const search_candidate &item) {
        return item.round < state.round && isPossible(route, state, item);
    };
    // Upstreams that did not answer an earlier round come last, so that they do not delay the
    // probes of the others.
    const auto rank = [&](const search_candidate *item) {
        const bool silent = item->firstProbeAt != base::time_point {}
                && now - item->firstProbeAt >= probeTimeout;
        return silent ? item->lastProbeAt : base::time_point {};
    };
    std::vector<search_candidate *> due;
    for (search_candidate &item : state.candidates) {
        if (isDue(item))
            due.push_back(&item);
    }
    std::ranges::stable_sort(due, {}, rank);
    if (due.size() > maxOutstandingProbes && state.relayFailures < maxRelayFailures)
        relayProbes(key, route, state, due, now);
    const std::size_t allowed =
            std::min(maxOutstandingProbes - std::min(maxOutstandingProbes, state.awaitedProbes),
                     m_probeWindow.room());
    state.roundComplete = due.size() <= allowed;
    for (search_candidate *item : std::span(due).first(std::min(allowed, due.size()))) {
        probe(key, route, state, *item, state.current, now);
        item->round = state.round;
    }
    sendKeptPackets(key, route, state, now);
    if (!state.roundComplete && !state.queued) {
        state.queued = true;
        m_probeQueue.push_back(key);
    }
    m_inProgress = m_inProgress || !state.roundComplete || state.packetsDue;
}

void owner_search::relayProbes(const flow_key &key, const flow_route &route, flow_search &state,
                               std::vector<search_candidate *> &due, base::time_point now)
{
    const std::uint32_t digest = m_view.directory().find(due.front()->machine)->serviceDigest();
    const auto isOfService = [&](const search_candidate *item) {
        return m_view.directory().find(item->machine)->serviceDigest() == digest;
    };
    // Clang 14 does not compile the call in std::ranges.
    const auto others = std::stable_partition(due.begin(), due.end(), isOfService);
    const std::span<search_candidate *> group(due.begin(), others);
    std::vector<std::uint32_t> helpers;
    for (const search_candidate *item : group) {
        if (upstream_directory::isHeard(*m_view.directory().find(item->machine), now))
            helpers.push_back(item->machine);
    }
    if (helpers.empty())
        return;
    const base::byte_vector &packet = state.currentPacket().bytes;
    const std::size_t mostMachines = std::max<std::size_t>(
            (maxProbeRequestSize - std::min(packet.size(), maxProbeRequestSize))
                    / sizeof(std::uint32_t),
            maxOutstandingProbes);
    std::size_t relayed = 0;
    while (relayed < group.size() && m_probeWindow.room() > 0) {
        relay_request request { ++m_lastRequestId, 0, {} };
        request.machine =
                helpers[base::mixBits(flow_key_hash()(key) + request.id) % helpers.size()];
        for (search_candidate *item :
             group.subspan(relayed).first(std::min(mostMachines, group.size() - relayed))) {
            request.candidates.push_back(item->machine);
            item->round = state.round;
            item->relayed = true;
            item->received.set(state.current);
            item->lastProbeAt = now;
            if (item->firstProbeAt == base::time_point {})
                item->firstProbeAt = now;
        }
        relayed += request.candidates.size();
        m_output.sendMessage(
                request.machine,
                probe_request { request.id, request.candidates,
                                m_sender.tagged(instruction::probe, digest, &route, packet) });
        m_probeWindow.sent();
        m_awaitedResults.push_back({ key, request.id, now });
        state.probes += static_cast<std::uint32_t>(request.candidates.size());
        ++m_counters.relays;
        state.relays.push_back(std::move(request));
    }
    due.erase(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(relayed));
}

std::uint32_t owner_search::receiveResult(const probe_result &result, base::time_point now)
{
    const auto found = m_searches.find(result.flow);
    if (found == m_searches.end())
        return 0;
    flow_search &state = found->second;
    const auto request = std::ranges::find(state.relays, result.requestId, &relay_request::id);
    const bool inTime = request != state.relays.end();
    const auto isIn = [](std::span<const std::uint32_t> machines, std::uint32_t machine) {
        return std::ranges::find(machines, machine) != machines.end();
    };
    for (search_candidate &item : state.candidates) {
        item.denied = item.denied || isIn(result.denied, item.machine);
        if (inTime && isIn(request->candidates, item.machine))
            item.relayed = false;
    }
    if (inTime) {
        state.relays.erase(request);
        m_probeWindow.answered();
    }
    if (result.owner != 0)
        return result.owner;
    if (state.packetsDue)
        m_nextUpdate = now;
    endIfDenied(result.flow, state, now);
    sendDueProbes(now);
    return 0;
}

void owner_search::expireRelays(base::time_point now)
{
    while (!m_awaitedResults.empty() && now - m_awaitedResults.front().sentAt >= relayTimeout) {
        const awaited_result expired = m_awaitedResults.front();
        m_awaitedResults.pop_front();
        const auto found = m_searches.find(expired.key);
        if (found == m_searches.end())
            continue;
        flow_search &state = found->second;
        const auto request = std::ranges::find(state.relays, expired.requestId, &relay_request::id);
        if (request == state.relays.end())
            continue;
        for (search_candidate &item : state.candidates) {
            if (std::ranges::find(request->candidates, item.machine) == request->candidates.end())
                continue;
            item.relayed = false;
            item.round = 0;
            item.firstProbeAt = {};
        }
        const known_upstream *helper = m_view.directory().find(request->machine);
        state.relays.erase(request);
        ++state.relayFailures;
        state.roundComplete = false;
        m_probeWindow.expired(helper != nullptr && upstream_directory::isHeard(*helper, now), now);
        if (!state.queued) {
            state.queued = true;
            m_probeQueue.push_back(expired.key);
        }
    }
}

base::time_point owner_search::nextProbeExpiry() const
{
    base::time_point next = base::time_point::max();
    if (!m_awaitedProbes.empty())
        next = m_awaitedProbes.front().sentAt + probeTimeout;
    if (!m_awaitedResults.empty())
        next = std::min(next, m_awaitedResults.front().sentAt + relayTimeout);
    return next;
}

void owner_search::sendDueProbes(base::time_point now)
{
    // The first search is completed before the next ones get the room: packets of an open flow must
    // not reach other upstreams for long.
    for (auto item = m_probeQueue.begin();
         item != m_probeQueue.end() && m_probeWindow.room() > 0;) {
        const auto found = m_searches.find(*item);
        const flow_route *route = m_view.routeOf(item->service);
        if (found != m_searches.end() && found->second.awaitedProbes >= maxOutstandingProbes) {
            ++item;
            continue;
        }
        if (found != m_searches.end() && route != nullptr) {
            sendProbes(found->first, *route, found->second, now);
            if (!found->second.roundComplete) {
                ++item;
                continue;
            }
            found->second.queued = false;
        }
        item = m_probeQueue.erase(item);
    }
}

void owner_search::expireProbes(base::time_point now)
{
    while (!m_awaitedProbes.empty() && now - m_awaitedProbes.front().sentAt >= probeTimeout) {
        const awaited_probe expired = m_awaitedProbes.front();
        m_awaitedProbes.pop_front();
        const auto found = m_searches.find(expired.key);
        if (found == m_searches.end())
            continue;
        const auto item = std::ranges::find(found->second.candidates, expired.machine,
                                            &search_candidate::machine);
        if (item == found->second.candidates.end() || item->awaitedSince != expired.sentAt)
            continue;
        found->second.endWait(*item);
        const known_upstream *known = m_view.directory().find(expired.machine);
        const bool wasSilent = item->lastProbeAt - item->firstProbeAt >= probeTimeout;
        m_probeWindow.expired(
                !wasSilent && known != nullptr && upstream_directory::isHeard(*known, now), now);
    }
}

void owner_search::withdrawProbes(flow_search &state)
{
    for (search_candidate &item : state.candidates) {
        if (state.endWait(item))
            m_probeWindow.withdrawn();
    }
    for ([[maybe_unused]] const relay_request &item : state.relays)
        m_probeWindow.withdrawn();
    state.relays.clear();
}

} // namespace oriolehold::flow
