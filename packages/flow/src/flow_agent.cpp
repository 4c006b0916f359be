#include "oriolehold/flow/flow_agent.h"

#include "oriolehold/flow/slow_start_limit.h"

#include <algorithm>
#include <array>
#include <utility>

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;
using instruction = packet_tag::instruction;

// An upstream returns a data packet of an unknown flow at once, and acknowledges one of its own
// flows at the latest when the client's copy arrives after 200 ms.
constexpr base::duration probeTimeout = 1s;
constexpr base::duration reportInterval = 200ms;
// An upstream answers an opening packet within milliseconds. One that takes longer has crashed or
// stalled, and another upstream can still answer before the client retransmits the packet after
// 200 ms.
constexpr base::duration openingTimeout = 60ms;
// A later call of tick() means that the process has stalled, and that answers of the upstream may
// wait in its socket.
constexpr base::duration stallTime = 20ms;
// Expected waits are reported for this time after the agent refused an opening packet because of
// overload, or reported that there is no free place. Under twice the capacity single reports state
// no wait, and an upstream without a limit draws what the others cannot take.
constexpr base::duration overloadReportTime = 1s;
// Shortest times from a report of expected waits to one that is sent early: while opening packets
// are refused or a place is free, and when a place is free again after a report that there was
// none. The queue that an objective of 250 ms permits empties within half of the report interval.
constexpr base::duration overloadReportGap = 50ms;
constexpr base::duration idleReportGap = 20ms;
// Unanswered packets until the upstream is reported as unresponsive. A single one may be lost.
constexpr std::uint32_t unresponsiveAfter = 2;
// The service of the upstream is announced with the answer to the first hellos of an instance, and
// again at this interval because an instance forgets upstreams that are not listed for a while.
constexpr base::duration announcementInterval = 5s;
// The claims that answer the first hello of an instance may be lost, and are sent again with the
// next hellos.
constexpr std::uint32_t claimRepetitions = 2;
// Six missed hellos.
constexpr base::duration entryTimeout = 3s;
constexpr base::duration expiryInterval = 1s;
// Flows older than 60 s may be discarded. Entry instances may send packets of a flow here for as
// long after it has ended, and those of a later flow from the same port must be denied then.
constexpr base::duration openLifetime = 65s;    // since the last packet; of ended flows, too
constexpr base::duration unopenedLifetime = 5s; // since the last packet; clients stop after 1.4 s
// Times after the first opening packet at which clients send its copies.
constexpr std::array<base::duration, 3> retransmitTimes { 0ms, 200ms, 600ms };
// For routes without a latency objective or timeout; about the smallest values of other routes.
constexpr std::chrono::milliseconds defaultObjective { 100 };
constexpr std::chrono::milliseconds defaultTimeout { 1500 };
// A request is held for at most this fraction of its timeout. After half of the timeout, another
// upstream may serve its client better.
constexpr double maxHoldFraction = 0.45;
// Data that an end sends before the other one has acknowledged any: 16 packets of 1,200 bytes.
constexpr std::uint32_t maxBytesInFlight = 19'200;
// An upstream that has lost a flow on which it sent a packet within this time has restarted; one
// that is idle for longer may have closed it.
constexpr base::duration flowLossTime = 5s;
// Difference between the acknowledgement that ends the handshake of a flow and the sequence number
// of the upstream's answer to the opening packet, which counts as one byte.
constexpr std::uint32_t handshakeEnd = 1;
// A client begins its request a round trip after the answer to its opening packet. One that begins
// it later has opened the flow ahead of it.
constexpr base::duration firstRequestTime = 200ms;

} // namespace

flow_agent::flow_agent(const agent_identity &identity, const packet_codec &codec,
                       const document_codec &documents, agent_output &output,
                       flow_observer &observer)
    : m_bootId(identity.bootId), m_serviceDigest(serviceDigest(identity.service)),
      m_options(identity.options), m_codec(codec), m_output(output), m_observer(observer),
      m_pace(identity.options.pace ? std::make_unique<slow_start_limit>() : nullptr, m_load),
      m_relay([&output](std::uint32_t machine,
                        base::byte_view packet) { output.sendToAgent(machine, packet); },
              [&output](std::uint32_t entry, const probe_result &result) {
                  output.sendMessage(entry, result);
              }),
      m_view(documents, output, *this), m_limiter(identity.warmUp)
{
    m_holdQueue.setControlled(m_options.overloadControl);
}

std::uint32_t flow_agent::entryIndex(const base::endpoint &entry)
{
    const auto found = std::ranges::find(m_entryEndpoints, entry);
    if (found != m_entryEndpoints.end())
        return static_cast<std::uint32_t>(found - m_entryEndpoints.begin());
    m_entryEndpoints.push_back(entry);
    return static_cast<std::uint32_t>(m_entryEndpoints.size() - 1);
}

void flow_agent::returnToEntry(const base::endpoint &entry, instruction kind,
                               base::byte_view packet)
{
    m_codec.copyTagged(packet, { kind, m_serviceDigest }, m_scratch);
    m_output.sendToEntry(entry, m_scratch);
}

void flow_agent::receiveFromEntry(const base::endpoint &entry, base::byte_view packet,
                                  base::time_point now)
{
    ++m_counters.fromEntries;
    const std::optional<packet_head> head = m_codec.decode(packet);
    if (!head || (head->tag.kind != instruction::deliver && head->tag.kind != instruction::probe)) {
        ++m_counters.malformed;
        return;
    }
    const flow_key key = keyOfClientPacket(*head);
    const bool isProbe = head->tag.kind == instruction::probe;
    if (head->tag.value != m_serviceDigest) {
        ++m_counters.otherService;
        if (isProbe)
            m_output.sendMessage(entry.address, flow_denial { key, m_serviceDigest, true });
        else
            returnToEntry(entry,
                          head->isOpening() ? instruction::refused : instruction::misdirected,
                          packet);
        return;
    }
    if (head->isOpening() && m_options.overloadControl
        && refuseForOverload(key, entry, *head, packet, now))
        return;
    if (head->isOpening()) {
        forgetFormerFlow(key, *head, now);
        if (refusesOpening(key, entry, *head, packet, now))
            return;
    }
    const entry_packet item { key, entry, *head, packet, now };
    if (!head->isOpening() || admitOpening(item, now))
        passToUpstream(item, now);
}

void flow_agent::passToUpstream(const entry_packet &received, base::time_point now)
{
    const auto &[key, entry, head, packet, receivedAt] = received;
    const bool isProbe = head.tag.kind == instruction::probe;
    const auto [item, added] = m_flows.try_emplace(key);
    flow_state &state = item->second;
    if (belongsToLaterFlow(state, head)) {
        denyLaterFlow(key, entry, head, packet);
        return;
    }
    if (head.isOpening())
        m_limiter.pass(now);
    state.lastSeen = now;
    if (head.isOpening())
        state.clientSequence = head.sequence;
    if (head.isOpening() && added) {
        const std::size_t retransmits =
                std::min<std::size_t>(head.retransmitCount(), retransmitTimes.size() - 1);
        state.openingAt = receivedAt - retransmitTimes[retransmits];
    }
    // An upstream may send nothing for seconds. Until a claim, an entry instance that knows a
    // former flow from the same port sends the packets to the upstream of that one.
    if (!isProbe && endsHandshake(state, head))
        markOpen(key, state, "the client acknowledged the upstream's answer");
    if (isProbe && (holdsFlow(state, head) || state.ended()))
        m_output.sendMessage(entry.address, flow_claim { { key } });
    if (head.finishes) {
        state.finishedByClient = true;
        state.clientEnd = head.sequence + head.payloadSize + 1;
    }
    closeIfEnded(state);
    endRequestOfLeavingClient(key, state, head, now);
    // A bare acknowledgement of a flow that the upstream holds is not answered.
    if (isProbe && added && head.payloadSize > 0)
        m_probes.push_back({ now, now + probeTimeout });
    if (head.isOpening() && added)
        m_openings.push_back(
                { key, entry, now + openingTimeout, { packet.begin(), packet.end() } });
    m_codec.copyTagged(packet, { head.tag.kind, entryIndex(entry), head.tag.priority }, m_scratch);
    deliver(key, state, head, now);
}

bool flow_agent::admitOpening(const entry_packet &item, base::time_point now)
{
    const auto known = m_flows.find(item.key);
    const bool isAccepted = known != m_flows.end() && known->second.mayBeOpen();
    if (isAccepted || !m_limiter.isLimited(now)
        || (m_waitingOpenings.empty() && m_limiter.mayPass(now)))
        return true;
    if (m_waitingOpenings.holds(item.key))
        return false; // another copy waits
    const bool isProbe = item.head.tag.kind == instruction::probe;
    flow_state opening;
    opening.openingAt = now;
    const request_constraints limits = constraintsOf(opening, item.head.tag, now);
    const bool mayWait =
            !isProbe && item.head.retransmitCount() == 0 && m_limiter.next(now) < limits.startBy;
    if (!mayWait) {
        returnCold(item.key, item.entry, isProbe ? instruction::absent : instruction::refused,
                   item.bytes);
        return false;
    }
    ++m_counters.openingsWaited;
    const auto rejected = m_waitingOpenings.add({ item.key,
                                                  item.entry,
                                                  item.head.tag.priority,
                                                  now,
                                                  limits.startBy,
                                                  { item.bytes.begin(), item.bytes.end() } },
                                                m_limiter.room(opening_queue::maxWait, now));
    if (rejected)
        returnCold(rejected->key, rejected->entry, instruction::refused, rejected->packet);
    releaseOpenings(now);
    return false;
}

void flow_agent::releaseOpenings(base::time_point now)
{
    while (const auto expired = m_waitingOpenings.takeExpired(now))
        returnCold(expired->key, expired->entry, instruction::refused, expired->packet);
    while (!m_waitingOpenings.empty() && m_limiter.mayPass(now)) {
        const std::optional<waiting_opening> item = m_waitingOpenings.take();
        if (const auto head = m_codec.decode(item->packet))
            passToUpstream({ item->key, item->entry, *head, item->packet, item->since }, now);
    }
}

void flow_agent::returnCold(const flow_key &key, const base::endpoint &entry, instruction kind,
                            base::byte_view packet)
{
    ++m_counters.refusedCold;
    m_observer.decisionMade({ .kind = decision_kind::openingRefused,
                              .flow = key,
                              .machine = entry.address,
                              .reason = "the upstream warms up",
                              .running = m_load.running() });
    returnToEntry(entry, kind, packet);
}

bool flow_agent::refusesOpening(const flow_key &key, const base::endpoint &entry,
                                const packet_head &head, base::byte_view packet,
                                base::time_point now)
{
    if (!evacuated(now))
        return false;
    const auto known = m_flows.find(key);
    if (known != m_flows.end() && known->second.mayBeOpen())
        return false; // a copy; the upstream has accepted another one
    ++m_counters.refusedEvacuated;
    m_observer.decisionMade({ .kind = decision_kind::openingRefused,
                              .flow = key,
                              .machine = entry.address,
                              .reason = "the availability zone is evacuated",
                              .running = m_load.running() });
    returnToEntry(entry,
                  head.tag.kind == instruction::probe ? instruction::absent : instruction::refused,
                  packet);
    return true;
}

bool flow_agent::refuseForOverload(const flow_key &key, const base::endpoint &entry,
                                   const packet_head &head, base::byte_view packet,
                                   base::time_point now)
{
    // The upstream may have accepted an earlier copy.
    const auto known = m_flows.find(key);
    if (known != m_flows.end() && known->second.clientSequence == head.sequence)
        return false;
    const std::size_t copies =
            std::min<std::size_t>(head.retransmitCount(), retransmitTimes.size() - 1);
    if (m_admission.admit(key, head.tag, retransmitTimes[copies],
                          admissionLoad(head.tag.priority, now), now))
        return false;
    ++m_counters.overloaded;
    hastenReport(m_overloadedUntil <= now ? base::duration::zero() : overloadReportGap);
    m_overloadedUntil = m_refusingUntil = now + overloadReportTime;
    m_observer.decisionMade({ .kind = decision_kind::openingRefused,
                              .flow = key,
                              .machine = entry.address,
                              .reason = "overload: it cannot be answered within its objective",
                              .running = m_load.running() });
    returnToEntry(entry, instruction::refused, packet);
    return true;
}

admission_load flow_agent::admissionLoad(std::uint8_t priority, base::time_point now) const
{
    return { m_holdQueue.places(), m_load.running(),
             static_cast<std::uint32_t>(m_holdQueue.heldInTime(priority, now)),
             m_load.meanServiceTime() };
}

capacity_report::priority_waits flow_agent::expectedWaits(base::time_point now)
{
    capacity_report::priority_waits waits = capacity_report::unlimitedWaits();
    const base::duration mean = m_load.meanServiceTime();
    m_reportedFull = false;
    if (now >= m_overloadedUntil || mean == base::duration::zero())
        return waits;
    for (std::size_t i = 0; i < waits.size(); ++i) {
        const auto priority = static_cast<std::uint8_t>(i);
        const base::duration wait = m_admission.waitOf(priority, admissionLoad(priority, now), now);
        m_reportedFull = m_reportedFull || wait > base::duration::zero();
        const auto whole = std::chrono::ceil<std::chrono::milliseconds>(wait + mean).count();
        waits[i] = static_cast<std::uint16_t>(
                std::min<std::int64_t>(whole, capacity_report::unlimited - 1));
    }
    if (m_reportedFull)
        m_overloadedUntil = now + overloadReportTime;
    return waits;
}

void flow_agent::forgetFormerFlow(const flow_key &key, const packet_head &opening,
                                  base::time_point now)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    const flow_state &state = found->second;
    // An agent that was restarted knows the flow but not its opening packet.
    const bool isLater = state.clientSequence ? *state.clientSequence != opening.sequence
                                              : state.ended() || opening.retransmitCount() == 0;
    if (isLater)
        removeFlow(key, now);
}

bool flow_agent::belongsToLaterFlow(const flow_state &state, const packet_head &head)
{
    // The last packets of the former flow may be repeated. Sequence numbers wrap around.
    return state.ended() && !head.isOpening() && state.clientEnd - head.sequence > maxBytesInFlight;
}

void flow_agent::denyLaterFlow(const flow_key &key, const base::endpoint &entry,
                               const packet_head &head, base::byte_view packet)
{
    ++m_counters.absent;
    m_observer.decisionMade({ .kind = decision_kind::flowAbsent,
                              .flow = key,
                              .machine = entry.address,
                              .reason = "the packet is of a later flow from the same port" });
    if (head.tag.kind == instruction::probe)
        m_output.sendMessage(entry.address, flow_denial { key, m_serviceDigest });
    else
        returnToEntry(entry, instruction::absent, packet);
}

bool flow_agent::beginsRequest(const flow_state &state, const packet_head &head)
{
    // Sequence numbers wrap around. A retransmission of an answered request begins no new request.
    const std::uint32_t end = head.sequence + head.payloadSize;
    return head.payloadSize > 0 && state.requestAt == base::time_point {}
    && (state.requestSequence == 0 || static_cast<std::int32_t>(end - state.requestSequence) > 0);
}

bool flow_agent::holdsFlow(const flow_state &state, const packet_head &head)
{
    if (!state.answered || state.open)
        return state.open;
    // The acknowledgement tells which upstream's answer to its opening packets the client took.
    return head.acknowledgement - state.openingSequence <= maxBytesInFlight;
}

bool flow_agent::endsHandshake(const flow_state &state, const packet_head &head)
{
    return state.answered && !state.open && !state.ended() && head.acknowledges && !head.isOpening()
            && !head.resets && head.acknowledgement - state.openingSequence <= handshakeEnd;
}

request_constraints flow_agent::constraintsOf(flow_state &state, const packet_tag &tag,
                                              base::time_point now) const
{
    const auto orDefault = [](std::chrono::milliseconds value, std::chrono::milliseconds other) {
        return value.count() > 0 ? value : other;
    };
    const base::duration objective = orDefault(tag.latencyObjective, defaultObjective);
    const base::duration timeout = orDefault(tag.timeout, defaultTimeout);
    // The client has waited for the first request of a flow since it began to open the flow, unless
    // it opened the flow ahead of the request.
    const bool first = state.requestSequence == 0 && state.openingAt != base::time_point {}
            && (!state.answered || now - state.answeredAt <= firstRequestTime);
    const base::time_point requestedAt = first ? state.openingAt : now;
    state.objectiveEnd = requestedAt + objective;
    return { tag.priority, state.objectiveEnd - m_load.meanServiceTime(),
             now + std::chrono::duration_cast<base::duration>(timeout * maxHoldFraction),
             requestedAt + timeout,
             state.objectiveEnd - admission_control::serviceFactor * m_load.meanServiceTime() };
}

void flow_agent::endRequestOfLeavingClient(const flow_key &key, flow_state &state,
                                           const packet_head &head, base::time_point now)
{
    // A client that closes its side before the objective has passed may still await the answer.
    const bool leaves =
            head.resets || (head.finishes && head.payloadSize == 0 && now > state.objectiveEnd);
    if (!leaves)
        return;
    if (m_holdQueue.holds(key)) {
        m_holdQueue.discard(key);
        countCallerLeft(key, "the client left before its held request was released");
    } else if (state.requestAt != base::time_point {}) {
        m_deadlines.leave(key, state.requestAt, m_load.meanServiceTime(), now);
    }
}

void flow_agent::countCallerLeft(const flow_key &key, std::string_view reason)
{
    ++m_counters.callerLeft;
    m_observer.decisionMade({ .kind = decision_kind::dropped,
                              .flow = key,
                              .reason = reason,
                              .running = m_load.running() });
}

void flow_agent::expireRequests(base::time_point now)
{
    m_deadlines.expire(now, [&](const flow_key &key, base::time_point begin) {
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || found->second.requestAt != begin)
            return;
        m_load.abandon(now);
        // A request whose client has left says nothing of the upstream.
        m_pace.abandoned(now - begin, now - begin >= request_deadlines::maxLifetime, now);
        found->second.requestAt = {};
    });
}

void flow_agent::beginRequest(const flow_key &key, flow_state &state, std::uint8_t priority,
                              base::duration held, base::time_point now)
{
    state.requestAt = now;
    state.priority = priority;
    state.held = held;
    m_load.begin(now);
    m_deadlines.begin(key, now);
    m_pace.began(now);
    updateLimit();
}

void flow_agent::deliver(const flow_key &key, flow_state &state, const packet_head &head,
                         base::time_point now)
{
    updateLimit();
    // Other upstreams get the same probe at once.
    const bool mayHold = head.tag.kind != instruction::probe;
    if (!mayHold)
        m_holdQueue.releaseFlow(key, now, releaseHandler(now));
    const bool alreadyHeld = m_holdQueue.holds(key);
    const bool begins = !alreadyHeld && beginsRequest(state, head);
    if (begins)
        m_admission.forget(key);
    const bool mustHold = alreadyHeld
            || (begins && mayHold && holdsFlow(state, head)
                && m_holdQueue.mustHold(m_load.running()));
    if (head.payloadSize > 0 && mustHold) {
        m_counters.held += begins ? 1 : 0;
        m_holdQueue.hold(key, begins ? constraintsOf(state, head.tag, now) : request_constraints {},
                         head.sequence, m_scratch, now);
        return;
    }
    if (begins) {
        constraintsOf(state, head.tag, now);
        beginRequest(key, state, head.tag.priority, {}, now);
    }
    if (head.payloadSize > 0) {
        const std::uint32_t end = head.sequence + head.payloadSize;
        if (state.requestSequence == 0
            || static_cast<std::int32_t>(end - state.requestSequence) > 0)
            state.requestSequence = end;
    }
    m_output.sendToUpstream(m_scratch);
}

hold_queue::release_handler flow_agent::releaseHandler(base::time_point now)
{
    return [this, now](const flow_key &key, const hold_queue::release_info &info,
                       std::span<const base::byte_vector> packets) {
        const auto found = m_flows.find(key);
        if (found != m_flows.end())
            beginRequest(key, found->second, info.priority, info.held, now);
        m_counters.releasedLate += info.late ? 1 : 0;
        for (const base::byte_vector &packet : packets) {
            if (const auto head = m_codec.decode(packet); head && found != m_flows.end())
                found->second.requestSequence = head->sequence + head->payloadSize;
            m_output.sendToUpstream(packet);
        }
    };
}

void flow_agent::updateLimit()
{
    m_holdQueue.setLimit(m_pace.limit());
}

void flow_agent::releaseHeld(base::time_point now)
{
    updateLimit();
    m_holdQueue.release(
            now, [this] { return m_load.running(); }, releaseHandler(now));
}

void flow_agent::receiveFromUpstream(base::byte_view packet, base::time_point now)
{
    ++m_counters.fromUpstream;
    if (m_unanswered >= unresponsiveAfter)
        m_limiter.suspectRestart(m_lastUpstreamPacketAt, now);
    m_unanswered = 0;
    m_lastUpstreamPacketAt = now;
    m_pace.heard(now);
    const std::optional<packet_head> head = m_codec.decode(packet);
    if (!head) {
        ++m_counters.malformed;
        return;
    }
    if (head->returned) {
        receiveReturned(*head, packet, now);
        return;
    }
    m_output.sendToClient(head->destination.address, packet);
    const flow_key key = keyOfUpstreamPacket(*head);
    flow_state &state = m_flows[key];
    // A packet of an older flow proves that the upstream has not restarted. The opening packet
    // alone does not: a copy of it may have reached the restarted upstream.
    if (state.open && state.answered && !head->resets)
        m_limiter.confirmRunning(state.answeredAt);
    state.lastSeen = now;
    state.lastAnswerAt = now;
    if (!std::exchange(state.answered, true))
        state.answeredAt = now;
    if (head->opens)
        state.openingSequence = head->sequence;
    state.finishedByUpstream = state.finishedByUpstream || head->finishes;
    closeIfEnded(state);
    if (!head->opens && !head->resets && !state.open && !state.ended())
        markOpen(key, state, "the upstream sent a packet");
    if ((head->payloadSize > 0 || head->resets || head->finishes)
        && state.requestAt != base::time_point {}) {
        m_load.end(now - state.requestAt, now);
        m_pace.answered(now - state.requestAt, head->resets, now);
        m_observer.requestAnswered({ state.priority, state.held, now - state.requestAt });
        state.requestAt = {};
    }
}

void flow_agent::markOpen(const flow_key &key, flow_state &state, std::string_view reason)
{
    state.open = true;
    ++m_openFlows;
    ++m_counters.opened;
    m_observer.decisionMade({ .kind = decision_kind::flowOpened,
                              .flow = key,
                              .reason = reason,
                              .running = m_load.running(),
                              .candidates = static_cast<std::uint32_t>(m_entries.size()) });
    broadcastClaim(flow_claim { { key } });
}

void flow_agent::receiveReturned(const packet_head &head, base::byte_view packet,
                                 base::time_point now)
{
    const flow_key key = keyOfClientPacket(head);
    if (head.tag.value >= m_entryEndpoints.size()) {
        ++m_counters.malformed;
        return;
    }
    const base::endpoint entry = m_entryEndpoints[head.tag.value];
    const bool refused = head.isOpening();
    const auto found = m_flows.find(key);
    const bool claimed = found != m_flows.end() && found->second.open;
    if (!refused && claimed && now - found->second.lastAnswerAt < flowLossTime)
        m_limiter.suspectRestart(found->second.lastAnswerAt, now);
    ++(refused ? m_counters.refused : m_counters.absent);
    m_observer.decisionMade(
            { .kind = refused ? decision_kind::openingRefused : decision_kind::flowAbsent,
              .flow = key,
              .machine = entry.address,
              .running = m_load.running() });
    // A refused copy of an opening packet tells nothing of a flow that another copy has opened.
    if (!refused || (found != m_flows.end() && !found->second.mayBeOpen()))
        removeFlow(key, now);
    if (refused)
        std::erase_if(m_openings, [&](const pending_opening &item) { return item.key == key; });
    const bool isProbe = head.tag.kind == instruction::probe;
    if (!refused && isProbe)
        m_output.sendMessage(entry.address, flow_denial { key, m_serviceDigest });
    // A claim answered the probe of a claimed flow, so the search has ended and must begin again.
    if (refused || !isProbe || claimed)
        returnToEntry(entry, refused ? instruction::refused : instruction::absent, packet);
}

void flow_agent::removeFlow(const flow_key &key, base::time_point now)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    if (found->second.requestAt != base::time_point {}) {
        m_load.abandon(now);
        m_pace.abandoned(now - found->second.requestAt, false, now);
    }
    if (found->second.open)
        --m_openFlows;
    m_holdQueue.discard(key);
    m_flows.erase(found);
}

void flow_agent::broadcastClaim(const flow_claim &claim)
{
    ++m_counters.claims;
    for (const auto &[machine, entry] : m_entries)
        m_output.sendMessage(machine, claim);
}

void flow_agent::closeIfEnded(flow_state &state)
{
    if (!state.open || !state.ended())
        return;
    state.open = false;
    --m_openFlows;
}

void flow_agent::claimAllFlows(std::uint32_t machine)
{
    flow_claim claim;
    for (const auto &[key, state] : m_flows) {
        if (!state.open)
            continue;
        claim.flows.push_back(key);
        if (claim.flows.size() == maxClaimedFlows) {
            m_output.sendMessage(machine, claim);
            claim.flows.clear();
        }
    }
    if (!claim.flows.empty())
        m_output.sendMessage(machine, claim);
}

void flow_agent::receiveMessage(std::uint32_t machine, const peer_message &message,
                                base::time_point now)
{
    if (const auto *notice = std::get_if<upstream_notice>(&message)) {
        const bool wasEvacuated = evacuated(now);
        const bool wasLimited = limitsOpenings(now);
        m_notices.receive(*notice, now);
        m_limiter.update(m_notices.coldRate(), m_notices.warmUpEndsAt(), now);
        m_pace.noticed(*notice, now);
        if (evacuated(now) != wasEvacuated || limitsOpenings(now) != wasLimited)
            m_nextReport = now;
        return;
    }
    const auto *hello = std::get_if<entry_hello>(&message);
    if (hello == nullptr) {
        if (receiveRelayed(machine, message, now) || !m_view.receive(machine, message, now))
            return;
        for (const auto &[entry, details] : m_entries) {
            if (entry != machine)
                m_output.sendMessage(entry, m_view.summary(now));
        }
        return;
    }
    known_entry &entry = m_entries[machine];
    const bool restarted = entry.bootId != hello->bootId;
    if (restarted)
        entry = { .bootId = hello->bootId, .claimsLeft = claimRepetitions + 1 };
    entry.lastHelloAt = now;
    m_holdQueue.setSlots(hello->slots);
    m_pace.setSlots(hello->slots);
    if (entry.claimsLeft > 0) {
        --entry.claimsLeft;
        // First, so that the instance knows the service of the flows.
        m_output.sendMessage(machine, service_announcement { m_serviceDigest });
        claimAllFlows(machine);
    }
    if (restarted)
        m_nextReport = now;
}

bool flow_agent::receiveRelayed(std::uint32_t machine, const peer_message &message,
                                base::time_point now)
{
    if (const auto *request = std::get_if<probe_request>(&message)) {
        const std::optional<packet_head> head = m_codec.decode(request->packet);
        if (!head || head->tag.kind != instruction::probe) {
            ++m_counters.malformed;
            return true;
        }
        ++m_counters.relayed;
        m_relay.begin(machine, keyOfClientPacket(*head), *request, now);
        return true;
    }
    if (const auto *denial = std::get_if<flow_denial>(&message)) {
        if (!denial->misdirected)
            m_relay.denied(denial->flow, machine);
        return true;
    }
    if (const auto *claim = std::get_if<flow_claim>(&message)) {
        std::ranges::for_each(claim->flows,
                              [&](const flow_key &key) { m_relay.claimed(key, machine); });
        return true;
    }
    return false;
}

void flow_agent::returnUnansweredOpenings(base::time_point now)
{
    while (!m_openings.empty() && m_openings.front().returnAt <= now) {
        const pending_opening opening = std::move(m_openings.front());
        m_openings.pop_front();
        const auto found = m_flows.find(opening.key);
        if (found != m_flows.end() && found->second.answered)
            continue;
        ++m_counters.unanswered;
        if (++m_unanswered == unresponsiveAfter) {
            m_nextReport = now;
            m_pace.openingsUnanswered(now);
        }
        if (m_unanswered >= unresponsiveAfter)
            m_limiter.suspectRestart(m_lastUpstreamPacketAt, now);
        m_observer.decisionMade({ .kind = decision_kind::openingRefused,
                                  .flow = opening.key,
                                  .machine = opening.entry.address,
                                  .reason = "the upstream does not answer",
                                  .running = m_load.running() });
        returnToEntry(opening.entry, instruction::unanswered, opening.packet);
    }
}

void flow_agent::countUnansweredProbes(base::time_point now)
{
    while (!m_probes.empty() && m_probes.front().dueAt <= now) {
        if (m_lastUpstreamPacketAt <= m_probes.front().deliveredAt)
            ++m_unanswered;
        m_probes.pop_front();
    }
}

void flow_agent::extendWaits(base::time_point now)
{
    for (pending_probe &item : m_probes) {
        if (!std::exchange(item.extended, true))
            item.dueAt = now + probeTimeout;
    }
    for (pending_opening &item : m_openings) {
        if (!std::exchange(item.extended, true))
            item.returnAt = now + openingTimeout;
    }
}

void flow_agent::expire(base::time_point now)
{
    boost::unordered::erase_if(m_flows, [&](auto &item) {
        flow_state &state = item.second;
        // A held request is released in time, and its flow may be open at the upstream then.
        const base::duration lifetime =
                state.open || state.ended() ? openLifetime : unopenedLifetime;
        const bool expired = !m_holdQueue.holds(item.first) && now - state.lastSeen > lifetime;
        if (expired && state.open)
            --m_openFlows;
        return expired;
    });
    boost::unordered::erase_if(m_entries, [&](const auto &item) {
        return now - item.second.lastHelloAt > entryTimeout;
    });
    m_nextExpiry = now + expiryInterval;
}

void flow_agent::hastenReport(base::duration gap)
{
    m_nextReport = std::min<base::time_point>(m_nextReport, m_lastReportAt + gap);
}

void flow_agent::reportLoad(base::time_point now)
{
    // Under overload control late requests delay no others.
    const std::size_t held =
            m_options.overloadControl ? m_holdQueue.heldInTime(0xff, now) : m_holdQueue.held();
    const load_report report { m_bootId,
                               m_load.running() + static_cast<std::uint32_t>(held),
                               m_load.meanRunning(now),
                               static_cast<std::uint32_t>(m_openFlows),
                               m_load.meanServiceTime(),
                               m_unanswered < unresponsiveAfter };
    const capacity_report limits = capacity(now);
    if (limits != capacity_report {})
        m_capacityReportsUntil = now + capacity_report::lifetime;
    const bool tellsLimits = now < m_capacityReportsUntil
            && (limits != m_reportedCapacity || limits.limitsWaits()
                || now >= m_nextCapacityReport);
    for (const auto &[machine, entry] : m_entries) {
        m_output.sendMessage(machine, report);
        if (tellsLimits)
            m_output.sendMessage(machine, limits);
    }
    if (tellsLimits) {
        m_reportedCapacity = limits;
        m_nextCapacityReport = now + capacity_report::repeatInterval;
    }
    m_nextReport = now + reportInterval;
    m_lastReportAt = now;
    if (now < m_nextAnnouncement)
        return;
    for (const auto &[machine, entry] : m_entries)
        m_output.sendMessage(machine, service_announcement { m_serviceDigest });
    m_nextAnnouncement = now + announcementInterval;
}

capacity_report flow_agent::capacity(base::time_point now)
{
    capacity_report result;
    if (limitsOpenings(now)) {
        const std::size_t room = m_limiter.room(reportInterval, now);
        result.openingRoom = static_cast<std::uint16_t>(
                room - std::min<std::size_t>(room, m_waitingOpenings.size()));
    }
    result.evacuated = evacuated(now);
    result.concurrency = m_pace.concurrency();
    result.expectedWait = expectedWaits(now);
    return result;
}

base::duration flow_agent::tick(base::time_point now)
{
    const bool stalled = m_nextTick != base::time_point {} && now - m_nextTick > stallTime;
    if (stalled)
        extendWaits(now);
    m_pace.advance(stalled, now);
    countUnansweredProbes(now);
    m_relay.expire(now);
    returnUnansweredOpenings(now);
    expireRequests(now);
    m_holdQueue.dropExpired(now, [this](const flow_key &key) {
        countCallerLeft(key, "the time-out of the held request has passed");
    });
    releaseHeld(now);
    releaseOpenings(now);
    if (const auto change = m_pace.change())
        m_observer.paceChanged(*change);
    if (now < m_refusingUntil && m_load.running() < m_holdQueue.places())
        hastenReport(m_reportedFull ? idleReportGap : overloadReportGap);
    if (now >= m_nextReport)
        reportLoad(now);
    if (now >= m_nextExpiry)
        expire(now);
    base::time_point next = std::min(m_nextReport, m_nextExpiry);
    if (!m_probes.empty())
        next = std::min(next, m_probes.front().dueAt);
    next = std::min({ next, m_holdQueue.next(), m_relay.next() });
    if (!m_waitingOpenings.empty())
        next = std::min({ next, m_waitingOpenings.nextExpiry(), m_limiter.next(now) });
    if (!m_openings.empty())
        next = std::min(next, m_openings.front().returnAt);
    m_nextTick = std::max(next, now);
    return m_nextTick - now;
}

} // namespace oriolehold::flow
