#include "oriolehold/flow/entry_balancer.h"

#include <algorithm>
#include <span>
#include <utility>

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;
using instruction = packet_tag::instruction;

// Agents remove an entry instance after several missed hellos.
constexpr base::duration helloInterval = 500ms;
// The hellos of a round go out in steps, because agents answer the first ones with claims of all
// their flows.
constexpr std::size_t minHellosPerStep = 8;
constexpr std::size_t maxHelloSteps = 20; // of a round
constexpr base::duration helloStepInterval = 5ms;
// Wait for the claims that agents send in answer to the first hello. A round trip takes a few
// milliseconds, so the wait covers a lost datagram.
constexpr base::duration initialClaimsTime = 150ms;
constexpr base::duration expiryInterval = 1s;
// Each agent reports every 200 ms. An instance that receives no message of any agent for this time
// is cut off, and another instance serves its clients better.
constexpr base::duration isolationTimeout = 700ms;
// Flows older than 60 s may be discarded, idle ones earlier. Clients stop opening a flow after
// 1.4 s.
constexpr std::uint32_t ownerLifetime = 60;      // seconds since the last packet
constexpr std::uint32_t unconfirmedLifetime = 5; // seconds since the last packet
// Copies of an opening packet arrive within this time, in seconds: clients stop after 1.4 s, and
// packets may be late.
constexpr std::uint32_t openingTime = 3;
constexpr std::uint8_t maxRefusals = 3;           // of one opening packet
constexpr base::duration refusalAvoidance = 50ms; // about the time in which a queue empties
// Unanswered hellos after which a machine counts as one without an agent. They take 20 s: an agent
// that is cut off answers later, and its upstream may hold flows.
constexpr std::uint32_t maxUnansweredHellos = 40;
// The same for an entry with a service that the configuration does not have: it is that of another
// writer, or its service has left the configuration. They take 5 s, longer than a restart of an
// agent.
constexpr std::uint32_t maxUnansweredHellosOfFormerServices = 10;
// Interval of the hellos after that. The service may be declared again, or the agent may be back.
constexpr base::duration rareHelloInterval = 5s;
// Agents that forward the summary of a read. Two may be lost at a time.
constexpr std::size_t relayCount = 3;
// Interval of requests to the seeds while an instance has no view, such as after a restart when the
// store rejects its reads.
constexpr base::duration seedInterval = 200ms;

} // namespace

entry_balancer::entry_balancer(entry_identity identity, const packet_codec &codec,
                               const document_codec &documents, placement_policy &policy,
                               entry_output &output, flow_observer &observer)
    : m_identity(std::move(identity)), m_codec(codec), m_policy(policy), m_output(output),
      m_sender(codec, output), m_observer(observer), m_view(documents, output, *this),
      m_schedule(m_identity.bootId, !m_identity.isSeed && !m_identity.seeds.empty()),
      m_firstUse(m_identity.firstUseDelay), m_random(m_identity.bootId),
      m_search(m_identity.zone, *this, m_sender, output, *this, observer, m_counters)
{ }

const flow_route *entry_balancer::routeOf(const base::endpoint &service) const
{
    const auto found = m_routes.find(service);
    return found == m_routes.end() ? nullptr : &found->second;
}

std::uint32_t entry_balancer::ownerOf(const flow_key &key) const
{
    const auto found = m_owners.find(key);
    return found == m_owners.end() ? 0 : found->second.machine;
}

void entry_balancer::receivePacket(base::byte_view packet, std::uint32_t sender,
                                   base::time_point now)
{
    ++m_counters.packets;
    const std::optional<packet_head> head = m_codec.decode(packet);
    if (!head) {
        ++m_counters.malformed;
        return;
    }
    switch (head->tag.kind) {
    case instruction::none:
        receiveFromClient(*head, packet, now);
        break;
    case instruction::deliver:
    case instruction::probe:
        // Another instance, or this one, took this machine for that of an agent.
        ++m_counters.misaddressed;
        break;
    case instruction::absent:
    case instruction::refused:
    case instruction::misdirected:
    case instruction::unanswered:
        receiveReturned(*head, packet, sender, now);
        break;
    }
}

void entry_balancer::receiveFromClient(const packet_head &head, base::byte_view packet,
                                       base::time_point now)
{
    const flow_key key = keyOfClientPacket(head);
    if (const auto known = m_owners.find(key);
        known != m_owners.end() && m_directory.holdsNoFlows(known->second.machine))
        m_owners.erase(known);
    if (head.isOpening())
        receiveOpening(head, packet, now);
    else if (const auto item = m_owners.find(key); item != m_owners.end())
        forwardKnown(item->second, key.service, packet, now);
    else if (const flow_route *route = routeOf(key.service))
        m_search.search(key, *route, head, packet, 0, now);
    else
        ++m_counters.dropped;
}

void entry_balancer::receiveOpening(const packet_head &head, base::byte_view packet,
                                    base::time_point now)
{
    const flow_key key = keyOfClientPacket(head);
    const flow_route *route = routeOf(key.service);
    if (route == nullptr) {
        resetOrDrop(head, "no route", m_view.configuration().version != 0, now);
        return;
    }
    const auto known = m_owners.find(key);
    const bool isCopy =
            known != m_owners.end() && isCopyOfOpening(head, *route, known->second, now);
    if (isCopy && !leavesEvacuatedZone(known->second)) {
        forwardKnown(known->second, key.service, packet, now);
        return;
    }
    if (isCopy)
        known->second.mayBeAccepted = true; // the first copy may have reached the upstream
    else if (known != m_owners.end() || head.retransmitCount() == 0)
        forgetFlow(key);
    placeFlow(head, packet, *route, now);
}

void entry_balancer::forwardKnown(owner &item, const base::endpoint &service,
                                  base::byte_view packet, base::time_point now)
{
    item.lastSeen = base::unixSeconds(now);
    ++m_counters.knownFlow;
    forward(item, service, packet);
}

bool entry_balancer::isCopyOfOpening(const packet_head &head, const flow_route &route,
                                     const owner &item, base::time_point now) const
{
    if (base::unixSeconds(now) - item.placedAt < openingTime)
        return item.openingSequence == head.sequence;
    // Another instance may have placed a later flow, whose sequence number is not known here.
    const known_upstream *known = m_directory.find(item.machine);
    return head.retransmitCount() > 0 && known != nullptr
            && upstream_directory::mayTakeFlows(*known) && takesFlows(route, known->record.service);
}

void entry_balancer::forgetFlow(const flow_key &key)
{
    m_owners.erase(key);
    m_search.forget(key);
}

const std::string *entry_balancer::chooseService(const flow_route &route, const flow_key &key)
{
    std::uint64_t total = 0;
    for (const weighted_service &item : route.services)
        total += item.weight;
    // Chosen by the flow's hash, so that copies of an opening packet go to the same service.
    std::uint64_t point = total == 0 ? 0 : flow_key_hash()(key) % total;
    for (const weighted_service &item : route.services) {
        if (point < item.weight)
            return &item.name;
        point -= item.weight;
    }
    return nullptr;
}

void entry_balancer::placeFlow(const packet_head &head, base::byte_view packet,
                               const flow_route &route, base::time_point now)
{
    const flow_key key = keyOfClientPacket(head);
    const std::string *service = chooseService(route, key);
    if (service == nullptr) {
        resetOrDrop(head, "no service of the route takes flows", true, now);
        return;
    }
    auto candidates = m_directory.eligible(*service);
    m_counters.firstUsesDelayed += m_firstUse.removeUnknown(candidates, now) ? 1 : 0;
    const packet_tag tag = tagged_sender::tagOf(instruction::deliver, 0, &route);
    const auto usable = m_overload.choose(candidates, tag, now);
    if (usable.refuses && refuseForOverload(head, tag, usable, now))
        return;
    known_upstream *chosen = m_policy.choose(usable.upstreams, m_identity.zone, now);
    if (chosen == nullptr) {
        refuseOpening(head, *service, now);
        return;
    }
    ++chosen->assignedSinceReport;
    ++chosen->assignedSinceCapacity;
    owner &item = m_owners[key];
    const bool again = item.refusals > 0;
    item.machine = chosen->machine();
    item.lastSeen = base::unixSeconds(now);
    item.serviceDigest = serviceDigest(chosen->record.service);
    if (!again) {
        item.openingSequence = head.sequence;
        item.placedAt = base::unixSeconds(now);
    }
    item.confirmed = false;
    forward(item, key.service, packet);
    ++(again ? m_counters.replaced : m_counters.placed);
    m_observer.decisionMade({ .kind = again ? decision_kind::replaced : decision_kind::placed,
                              .flow = key,
                              .machine = item.machine,
                              .upstream = chosen->record.id,
                              .configurationVersion = m_view.configuration().version,
                              .viewAge = now - m_directory.readAt(),
                              .reportAge = now - chosen->reportedAt,
                              .running = chosen->report.running,
                              .candidates = static_cast<std::uint32_t>(candidates.size()) });
}

void entry_balancer::refuseOpening(const packet_head &head, std::string_view service,
                                   base::time_point now)
{
    const auto known = m_owners.find(keyOfClientPacket(head));
    const bool mayBeAccepted = known != m_owners.end() && known->second.mayBeAccepted;
    const bool evacuated = m_directory.hasEvacuated(service);
    // The next copy of the packet arrives 200 ms later and can be placed then.
    const bool awaitsAgent = m_directory.anyUnheard([&](const known_upstream &item) {
        return item.record.service == service && upstream_directory::mayTakeFlows(item)
                && mayHaveAgent(item);
    });
    m_counters.refusedEvacuated += evacuated ? 1 : 0;
    resetOrDrop(head,
                evacuated ? "all zones with upstreams of the service are evacuated"
                          : "no upstream accepts flows",
                !m_directory.empty() && !mayBeAccepted && !awaitsAgent, now);
}

bool entry_balancer::refuseForOverload(const packet_head &head, const packet_tag &tag,
                                       const overload_refusal::choice &choice, base::time_point now)
{
    const auto known = m_owners.find(keyOfClientPacket(head));
    const bool mayBeAccepted = known != m_owners.end() && known->second.mayBeAccepted;
    if (mayBeAccepted || head.retransmitCount() > 0)
        return false;
    if (known != m_owners.end())
        m_owners.erase(known);
    ++m_counters.refusedOverload;
    resetClient(head,
                flow_decision { .reason = reset_counters::overloaded,
                                .expectedWait = choice.expectedWait,
                                .objective = tag.latencyObjective },
                now);
    return true;
}

bool entry_balancer::leavesEvacuatedZone(const owner &item) const
{
    const known_upstream *known = m_directory.find(item.machine);
    return !item.confirmed && known != nullptr && upstream_directory::isEvacuated(*known);
}

void entry_balancer::forward(const owner &item, const base::endpoint &service,
                             base::byte_view packet)
{
    m_sender.send(instruction::deliver, item.serviceDigest, routeOf(service), item.machine, packet);
}

void entry_balancer::receiveReturned(const packet_head &head, base::byte_view packet,
                                     std::uint32_t sender, base::time_point now)
{
    const flow_key key = keyOfClientPacket(head);
    const flow_route *route = routeOf(key.service);
    const auto known = m_owners.find(key);
    if (route == nullptr || known == m_owners.end()) {
        ++m_counters.dropped;
        return;
    }
    const bool refused =
            head.tag.kind == instruction::refused || head.tag.kind == instruction::unanswered;
    if (known->second.machine != sender) {
        // Another upstream was chosen or claimed the flow in the meantime.
        if (refused)
            ++m_counters.dropped;
        else
            forward(known->second, key.service, packet);
        return;
    }
    if (refused && known->second.confirmed) {
        ++m_counters.dropped; // a copy that arrived after the flow was opened
        return;
    }
    if (refused) {
        receiveRefused(head, packet, *route, now);
        return;
    }
    if (head.tag.kind == instruction::misdirected && mayServe(*route, head.tag.value)) {
        // The list here is older than the upstream; the agent names the upstream's present service.
        known->second.serviceDigest = head.tag.value;
        forward(known->second, key.service, packet);
        return;
    }
    m_owners.erase(known);
    // A misdirected packet has not reached the upstream, which may hold the flow.
    const bool denied = head.tag.kind == instruction::absent;
    m_search.search(key, *route, head, packet, denied ? sender : 0, now);
}

void entry_balancer::receiveRefused(const packet_head &head, base::byte_view packet,
                                    const flow_route &route, base::time_point now)
{
    const auto known = m_owners.find(keyOfClientPacket(head));
    if (known_upstream *upstream = m_directory.find(known->second.machine)) {
        upstream->avoidUntil = now + refusalAvoidance;
        if (head.tag.kind == instruction::refused)
            m_overload.refused(*upstream, now);
    }
    if (head.tag.kind == instruction::unanswered)
        known->second.mayBeAccepted = true;
    if (++known->second.refusals < maxRefusals) {
        placeFlow(head, packet, route, now);
        return;
    }
    const bool certain = !known->second.mayBeAccepted;
    m_owners.erase(known);
    resetOrDrop(head, "refused by the upstreams", certain, now);
}

void entry_balancer::receiveMessage(std::uint32_t machine, const peer_message &message,
                                    base::time_point now)
{
    hearAgent(machine, message, now);
    if (const auto *report = std::get_if<load_report>(&message))
        m_directory.report(machine, *report, now);
    else if (const auto *capacity = std::get_if<capacity_report>(&message))
        receiveCapacity(machine, *capacity, now);
    else if (const auto *claimed = std::get_if<flow_claim>(&message))
        std::ranges::for_each(claimed->flows,
                              [&](const flow_key &key) { receiveClaim(key, machine, now); });
    else if (const auto *denied = std::get_if<flow_denial>(&message))
        receiveDenial(*denied, machine, now);
    else if (const auto *result = std::get_if<probe_result>(&message))
        receiveResult(*result, now);
    else if (const auto *announced = std::get_if<service_announcement>(&message))
        receiveAnnouncement(machine, *announced, now);
    else
        m_view.receive(machine, message, now);
}

void entry_balancer::hearAgent(std::uint32_t machine, const peer_message &message,
                               base::time_point now)
{
    const known_upstream *known = m_directory.find(machine);
    const bool announcesItself = std::holds_alternative<load_report>(message)
            || std::holds_alternative<flow_claim>(message);
    if (known == nullptr) {
        if (announcesItself)
            m_unlistedAgents[machine] = now;
        return;
    }
    // Entry instances send the other kinds, and an entry of another writer may name one.
    const bool sentByAgent = announcesItself || std::holds_alternative<capacity_report>(message)
            || std::holds_alternative<flow_denial>(message)
            || std::holds_alternative<probe_result>(message)
            || std::holds_alternative<service_announcement>(message);
    if (!known->agentHeard && !sentByAgent)
        return;
    if (!known->agentHeard)
        m_search.agentFound();
    m_directory.hear(machine, now);
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
    item.serviceDigest = known->serviceDigest();
    item.confirmed = true;
    m_search.end(key, *known, now);
}

void entry_balancer::receiveDenial(const flow_denial &denial, std::uint32_t machine,
                                   base::time_point now)
{
    // A denial may arrive after a claim that the agent sent before it.
    const auto known = m_owners.find(denial.flow);
    if (known != m_owners.end() && known->second.machine == machine && !denial.misdirected)
        m_owners.erase(known);
    m_search.receiveDenial(denial, machine, now);
}

void entry_balancer::receiveResult(const probe_result &result, base::time_point now)
{
    if (const std::uint32_t machine = m_search.receiveResult(result, now); machine != 0)
        receiveClaim(result.flow, machine, now);
}

void entry_balancer::receiveCapacity(std::uint32_t machine, const capacity_report &report,
                                     base::time_point now)
{
    const known_upstream *known = m_directory.find(machine);
    m_directory.reportCapacity(machine, report, known == nullptr ? 0.0 : coldRateOf(*known), now);
}

void entry_balancer::receiveAnnouncement(std::uint32_t machine,
                                         const service_announcement &announcement,
                                         base::time_point now)
{
    if (m_directory.announce(machine, announcement.serviceDigest))
        applyList(m_view.upstreams(), m_view.readAt(), now);
}

void entry_balancer::resetOrDrop(const packet_head &head, std::string_view reason, bool certain,
                                 base::time_point now)
{
    // Only the first copy of an opening packet: an upstream may have accepted another copy through
    // an entry instance with a newer view.
    if (certain && head.isOpening() && head.retransmitCount() == 0)
        resetClient(head, reason, now);
    else
        ++m_counters.dropped;
}

void entry_balancer::resetClient(const packet_head &head, std::string_view reason,
                                 base::time_point now)
{
    resetClient(head, flow_decision { .reason = reason }, now);
}

void entry_balancer::resetClient(const packet_head &head, flow_decision decision,
                                 base::time_point now)
{
    m_codec.writeReset(head, m_scratch);
    m_output.sendToClient(head.source.address, m_scratch);
    ++m_counters.resets;
    m_counters.resetsByReason.add(decision.reason);
    decision.kind = decision_kind::reset;
    decision.flow = keyOfClientPacket(head);
    decision.configurationVersion = m_view.configuration().version;
    decision.viewAge = now - m_directory.readAt();
    m_observer.decisionMade(decision);
}

void entry_balancer::routesChanged(const flow_configuration &configuration)
{
    const auto former = std::exchange(m_routes, {});
    for (const flow_route &route : configuration.routes) {
        flow_route &current = m_routes.emplace(route.address, route).first->second;
        const auto known = former.find(route.address);
        if (known == former.end())
            continue;
        for (const weighted_service &item : known->second.services) {
            if (!mayServe(current, item.name))
                current.services.push_back({ item.name, 0 });
        }
    }
    m_services = { configuration.services.begin(), configuration.services.end() };
    for (const auto &[address, route] : m_routes) {
        for (const weighted_service &item : route.services)
            m_services.insert(item.name);
    }
    m_coldRates.clear();
    for (const service_warm_up &item : configuration.warmUps)
        m_coldRates[item.service] = item.requestsPerSecond;
    m_nextHello = {};
    m_observer.routesChanged(configuration);
}

bool entry_balancer::isKnownService(const upstream_record &record) const
{
    return m_view.configuration().version == 0 || m_services.contains(record.service);
}

bool entry_balancer::mayHaveAgent(const known_upstream &upstream) const
{
    const std::uint32_t limit = isKnownService(upstream.record)
            ? maxUnansweredHellos
            : maxUnansweredHellosOfFormerServices;
    return upstream.agentHeard || upstream.unansweredHellos < limit;
}

bool entry_balancer::awaitsAgents() const
{
    return m_directory.anyUnheard([this](const known_upstream &item) {
        return mayHaveAgent(item) && !m_directory.holdsNoFlows(item.machine());
    });
}

bool entry_balancer::needsHello(const known_upstream &upstream, base::time_point now) const
{
    return isKnownService(upstream.record) || mayHaveAgent(upstream)
            || now - upstream.greetedAt >= rareHelloInterval;
}

void entry_balancer::upstreamsUpdated(const upstream_list &list, base::time_point readAt,
                                      base::time_point now)
{
    m_lastListAt = now;
    m_search.listChanged(now);
    const bool first = m_directory.readAt() == base::time_point {};
    const store_revision former = m_directory.revision();
    if (!first && list.revision.era != former.era) {
        ++m_counters.storeRestores;
        m_observer.storeRestored(former, list.revision);
    }
    applyList(list, readAt, now);
    applyEvacuation(list.evacuation, now);
    boost::unordered::erase_if(m_unlistedAgents, [&](const auto &item) {
        return m_directory.find(item.first) != nullptr
                || now - item.second >= upstream_directory::reregistrationTime;
    });
    if (first)
        sendHellos(now);
}

void entry_balancer::applyList(const upstream_list &list, base::time_point readAt,
                               base::time_point now)
{
    const auto isKnown = [this](const upstream_record &record) { return isKnownService(record); };
    std::vector<std::uint32_t> restarted;
    std::vector<std::uint32_t> added;
    const bool first = m_directory.readAt() == base::time_point {};
    const bool applied =
            m_directory.update(list, readAt, now, isKnown, [&](const directory_change &change) {
                m_observer.directoryChanged(change);
                if (change.what == directory_change::kind::restarted)
                    restarted.push_back(change.address.address);
                if (change.what == directory_change::kind::added)
                    added.push_back(change.address.address);
            });
    for (const std::uint32_t machine : added) {
        if (m_unlistedAgents.contains(machine))
            m_directory.hear(machine, now);
    }
    if (!first)
        greetSoon(added, now);
    if (applied)
        m_firstUse.update(list, readAt, now, isKnown);
    // Flows are placed there before the next round of hellos, and the agent still takes the
    // upstream for the former, warm one.
    for (const std::uint32_t machine : restarted) {
        const known_upstream &known = *m_directory.find(machine);
        if (m_identity.sendsNotices && coldRateOf(known) > 0)
            m_output.sendMessage(machine, noticeOf(known, now));
    }
}

bool entry_balancer::listIsComplete(const flow_route &route, base::time_point now)
{
    return m_firstUse.enabled() && std::ranges::any_of(route.services, &weighted_service::weight)
            && std::ranges::all_of(route.services, [&](const weighted_service &service) {
                   return service.weight == 0
                           || m_firstUse.isComplete(m_directory.eligible(service.name), now);
               });
}

bool entry_balancer::listMayLackUpstreams(base::time_point now) const
{
    return std::ranges::any_of(m_unlistedAgents, [&](const auto &agent) {
        return now - agent.second < upstream_directory::reregistrationTime;
    });
}

void entry_balancer::applyEvacuation(const zone_evacuation &evacuation, base::time_point now)
{
    const std::vector<std::string> former = m_directory.evacuatedZones();
    m_directory.setEvacuation(evacuation, now);
    if (former == m_directory.evacuatedZones())
        return;
    m_observer.evacuationChanged(m_directory.evacuatedZones());
    // The agents learn of it at once: a new round of hellos begins.
    m_pendingHellos.clear();
    m_nextHello = now;
}

double entry_balancer::coldRateOf(const known_upstream &upstream) const
{
    const auto rate = m_coldRates.find(upstream.record.service);
    return rate == m_coldRates.end() ? 0.0 : rate->second;
}

upstream_notice entry_balancer::noticeOf(const known_upstream &upstream, base::time_point now) const
{
    const base::duration left = std::max(upstream.warmUpEndsAt - now, base::duration::zero());
    return { upstream.record.incarnation,
             std::chrono::duration_cast<std::chrono::milliseconds>(left), coldRateOf(upstream),
             m_view.upstreams().evacuation.revision, upstream.inEvacuatedZone };
}

bool entry_balancer::readDue(base::time_point now) const
{
    return m_schedule.due(now, m_view.readAt(), m_view.complete())
            || (m_search.needsNewerList() && m_schedule.urgentlyDue(now, m_lastListAt))
            || (m_view.lacksConfiguration(now) && m_schedule.retryDue(now));
}

void entry_balancer::beginRead(base::time_point now)
{
    m_schedule.begin(now);
}

void entry_balancer::finishRead(const std::optional<flow_configuration> &configuration,
                                const std::optional<upstream_list> &upstreams,
                                base::time_point readAt, base::time_point now)
{
    if (configuration)
        m_view.applyConfiguration(*configuration);
    if (upstreams)
        m_view.applyUpstreams(*upstreams, readAt, now);
    for (const std::uint32_t machine : relays(now))
        m_output.sendMessage(machine, m_view.summary(now));
}

std::vector<std::uint32_t> entry_balancer::relays(base::time_point now) const
{
    // Entries of other writers name machines without an agent.
    const auto rank = [&](std::uint32_t machine) {
        const known_upstream *known = m_directory.find(machine);
        return std::pair(!upstream_directory::isHeard(*known, now), machine);
    };
    std::vector<std::uint32_t> machines = m_directory.machines();
    std::ranges::sort(machines, {}, rank);
    machines.resize(std::min(machines.size(), relayCount));
    return machines;
}

void entry_balancer::spreadHellos()
{
    m_hellosPerStep = std::max(minHellosPerStep,
                               (m_pendingHellos.size() + maxHelloSteps - 1) / maxHelloSteps);
}

void entry_balancer::greetSoon(std::span<const std::uint32_t> machines, base::time_point now)
{
    for (const std::uint32_t machine : machines) {
        if (needsHello(*m_directory.find(machine), now))
            m_pendingHellos.push_back(machine);
    }
    if (m_pendingHellos.empty())
        return;
    spreadHellos();
    m_nextHello = std::min(m_nextHello, now);
}

void entry_balancer::sendHellos(base::time_point now)
{
    if (m_pendingHellos.empty()) {
        m_pendingHellos = m_directory.machines();
        std::erase_if(m_pendingHellos, [&](std::uint32_t machine) {
            return !needsHello(*m_directory.find(machine), now);
        });
        m_nextHelloRound = now + helloInterval;
        m_notices.keepOnly(m_pendingHellos);
        spreadHellos();
    }
    const std::size_t count = std::min(m_hellosPerStep, m_pendingHellos.size());
    for (const std::uint32_t machine : std::span(m_pendingHellos).last(count)) {
        const known_upstream *known = m_directory.find(machine);
        if (known == nullptr)
            continue;
        m_directory.greet(machine, now);
        m_output.sendMessage(
                machine, entry_hello { m_identity.bootId, m_identity.zone, known->record.slots });
        const upstream_notice notice = noticeOf(*known, now);
        // Without a configuration the rates of cold upstreams are unknown.
        // The entry of a former user of the address says nothing of the agent's upstream.
        const bool isOfAgent = !known->announcedService
                || *known->announcedService == serviceDigest(known->record.service);
        if (m_identity.sendsNotices && isOfAgent && m_view.configuration().version != 0
            && m_notices.due(machine, notice, known->report.bootId, now))
            m_output.sendMessage(machine, notice);
    }
    m_pendingHellos.resize(m_pendingHellos.size() - count);
    m_nextHello = m_pendingHellos.empty() ? m_nextHelloRound : now + helloStepInterval;
    if (m_firstHelloAt == base::time_point {} && count > 0 && m_pendingHellos.empty())
        m_firstHelloAt = now;
}

void entry_balancer::expireOwners(base::time_point now)
{
    const std::uint32_t seconds = base::unixSeconds(now);
    boost::unordered::erase_if(m_owners, [&](const auto &item) {
        const owner &value = item.second;
        return seconds - value.lastSeen > (value.confirmed ? ownerLifetime : unconfirmedLifetime);
    });
    m_nextExpiry = now + expiryInterval;
}

base::duration entry_balancer::tick(base::time_point now)
{
    m_firstUse.observe(now);
    if (now >= m_nextHello)
        sendHellos(now);
    if (now >= m_nextExpiry)
        expireOwners(now);
    m_search.tick(now);
    if (!m_view.complete() && now >= m_nextSeedRequest) {
        m_nextSeedRequest = now + seedInterval;
        for (const std::uint32_t machine : m_identity.seeds)
            m_output.sendMessage(machine, view_request { true, true });
    }
    base::time_point next = std::min(m_nextHello, m_nextExpiry);
    next = std::min(next, m_schedule.next(m_view.readAt(), m_view.complete()));
    next = std::min(next, m_search.nextTick());
    if (m_firstUse.enabled())
        next = std::min(next, now + first_use_delay::stallTime / 2);
    return std::max(next - now, base::duration::zero());
}

bool entry_balancer::isolated(base::time_point now) const
{
    return m_firstHelloAt != base::time_point {}
    && now - std::max(m_directory.heardAt(), m_firstHelloAt) > isolationTimeout;
}

bool entry_balancer::ready(base::time_point now) const
{
    return m_view.configuration().version != 0 && m_firstHelloAt != base::time_point {}
    && now - m_firstHelloAt >= initialClaimsTime && !isolated(now);
}

} // namespace oriolehold::flow
