#include "deployment_parts.h"

#include <algorithm>

// The guarantees that deployment_simulation checks.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;

// Packets of an open flow at other upstreams, within this time and none at its own.
constexpr base::duration misroutingTime = 2s;
constexpr std::size_t misroutedPackets = 3;
// Longest time between the arrivals of the probes of one round of a search.
constexpr base::duration probeSpread = 100ms;
// Time after which a draining upstream must not get a new flow.
constexpr base::duration drainLimit = 3s;
// Time after which a version that the store acknowledged must be in force.
constexpr base::duration configurationLimit = 3s;

} // namespace

bool deployment_simulation::storeCalmSince(base::time_point time) const
{
    return m_storeUp && m_storeDisruptedUntil + recoveryTime <= time;
}

bool deployment_simulation::calmSince(base::time_point time, std::size_t entryIndex,
                                      const upstream &item) const
{
    const link &between = m_links[entryIndex * m_upstreams.size() + item.machine - 1];
    const base::time_point disrupted = std::max({ m_entries[entryIndex]->disruptedUntil,
                                                  item.disruptedUntil, between.disruptedUntil() });
    return disrupted + recoveryTime <= time && storeCalmSince(time);
}

bool deployment_simulation::ownerLives(std::uint16_t port, const client_flow &flow) const
{
    if (flow.owner == 0)
        return false;
    const upstream &owner = *m_upstreams[flow.owner - 1];
    if (!owner.alive || owner.number != flow.ownerNumber)
        return false;
    const auto found = owner.flows.find(port);
    return found != owner.flows.end() && !found->second.closed;
}

void deployment_simulation::noteReset(client_flow &flow, std::uint16_t port, std::size_t entryIndex)
{
    if (ownerLives(port, flow) && calmSince(m_now, entryIndex, *m_upstreams[flow.owner - 1]))
        reportViolation("open flow " + std::to_string(port)
                        + " was reset although its upstream holds it");
}

void deployment_simulation::noteProcessed(upstream &item, const packet_head &head,
                                          std::size_t entryIndex)
{
    const std::uint16_t port = head.source.port;
    client_flow &flow = m_flows.at(port);
    if (!ownerLives(port, flow) || !flow.hasSent(head.sequence))
        return;
    if (flow.owner == item.machine) {
        flow.strays.clear();
        flow.atOwner[head.sequence] = m_now;
        return;
    }
    ++m_counts.strays;
    if (calmSince(m_now, entryIndex, *m_upstreams[flow.owner - 1]))
        ++m_counts.judgedStrays;
    const auto arrival = flow.atOwner.find(head.sequence);
    const bool isCopy = arrival != flow.atOwner.end() && m_now - arrival->second < probeSpread;
    flow.strays.push_back({ m_now, entryIndex, item.machine, isCopy });
    checkMisroutingPeriod(port, flow);
}

void deployment_simulation::eraseExcused(client_flow &flow)
{
    // A stray is excused by a disruption before it and by one since then.
    const upstream &owner = *m_upstreams[flow.owner - 1];
    std::erase_if(flow.strays,
                  [&](const stray &item) { return !calmSince(item.at, item.entryIndex, owner); });
}

void deployment_simulation::checkMisroutingPeriod(std::uint16_t port, client_flow &flow)
{
    eraseExcused(flow);
    if (flow.strays.size() >= misroutedPackets
        && flow.strays.back().at - flow.strays.front().at >= misroutingTime)
        reportViolation("packets of open flow " + std::to_string(port)
                        + " reach other upstreams all the time");
}

void deployment_simulation::checkNewFlow(const upstream &item, const packet_head &head,
                                         std::size_t entryIndex)
{
    checkService(item, head, entryIndex);
    checkEvacuation(item, entryIndex);
    if (item.draining && m_now - item.drainingSince > drainLimit
        && calmSince(m_now, entryIndex, item))
        reportViolation("a draining upstream got a new flow");
}

void deployment_simulation::checkService(const upstream &item, const packet_head &head,
                                         std::size_t entryIndex)
{
    const auto allows = [&item](const allowed_services &version) {
        return std::ranges::find(version.names, item.service) != version.names.end();
    };
    const auto &versions = m_allowedServices[head.destination.address];
    if (std::ranges::none_of(versions, allows))
        reportViolation("a new flow reached an upstream of another service");
    if (!calmSince(m_now, entryIndex, item))
        return;
    // Versions that were superseded long before the client began to open the flow.
    const base::time_point begunAt = m_flows.at(head.source.port).begunAt;
    const auto inForce = std::ranges::find_if(versions, [&](const allowed_services &version) {
        const auto next = std::ranges::find_if(versions, [&](const allowed_services &other) {
            return other.since > version.since;
        });
        return next == versions.end() || next->since + configurationLimit >= begunAt;
    });
    if (std::none_of(inForce, versions.end(), allows))
        reportViolation("a new flow reached a service that its route no longer has");
}

void deployment_simulation::checkMisrouting()
{
    for (auto &[port, flow] : m_flows) {
        if (!flow.strays.empty())
            checkMisrouting(port, flow);
    }
}

void deployment_simulation::checkMisrouting(std::uint16_t port, client_flow &flow)
{
    if (flow.ended || !ownerLives(port, flow)) {
        flow.strays.clear();
        return;
    }
    eraseExcused(flow);
    // A probe of a packet that its own upstream has got is not misrouted.
    const auto isMisrouted = [&](const stray &item) { return !item.isCopy; };
    for (const stray &first : flow.strays) {
        if (!isMisrouted(first))
            continue;
        const base::time_point end = first.at + misroutingTime;
        if (end > m_now)
            return;
        const auto count = std::ranges::count_if(flow.strays, [&](const stray &item) {
            return isMisrouted(item) && item.at >= first.at && item.at < end;
        });
        if (count >= static_cast<std::ptrdiff_t>(misroutedPackets))
            reportViolation("packets of open flow " + std::to_string(port)
                            + " do not reach its upstream");
    }
}

void deployment_simulation::checkConfigurationOrder(const entry &item)
{
    if (!std::ranges::is_sorted(item.observer->versions))
        reportViolation("an entry instance returned to an older configuration");
}

void deployment_simulation::checkViews()
{
    if (!storeCalmSince(m_now))
        return;
    for (const auto &item : m_entries) {
        const base::time_point disrupted = std::max(item->startedAt, item->disruptedUntil);
        if (item->running && disrupted + recoveryTime <= m_now)
            checkView(item->balancer->view());
    }
}

void deployment_simulation::checkView(const view_exchange &view)
{
    // An upstream may have begun to drain since the read of the list.
    if (m_now - view.readAt() > drainLimit)
        reportViolation("the list of upstreams of an entry instance is old");
    const auto due = std::ranges::find_if(
            m_acknowledgedVersions.rbegin(), m_acknowledgedVersions.rend(),
            [this](const auto &item) { return item.first + configurationLimit <= m_now; });
    if (due != m_acknowledgedVersions.rend() && view.configuration().version < due->second)
        reportViolation("version " + std::to_string(due->second)
                        + " of the configuration is not in force on an entry instance");
}

} // namespace oriolehold::flow
