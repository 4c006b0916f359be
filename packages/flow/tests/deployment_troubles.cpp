#include "deployment_parts.h"

#include <algorithm>
#include <iterator>

// Planned work and disruptions of deployment_simulation.

namespace oriolehold::flow {

namespace {

using namespace std::chrono_literals;

// Troubles that the seed leaves out.
constexpr unsigned absentPercent = 30;
constexpr std::size_t highestWeight = 4;
// Between two troubles that affect all machines, so that the time between them can be judged.
constexpr base::duration globalTroubleInterval = 11s;
// A stopping entry instance forwards until this many readiness checks were refused.
constexpr base::duration stopTime = 1600ms;
// Three heartbeat intervals.
constexpr base::duration entryLapse = 3s;
// Entries that lapsed in an outage are back this long after it at the latest.
constexpr base::duration longestReturnToList = 2s;

// Of the copies that the store is restored from.
constexpr base::duration longestCopyAge = 16s;
constexpr std::size_t mostLostChanges = 8; // when few are lost
// All is written again within this time after some restores.
constexpr base::duration quickReturn = 50ms;
// The operator writes the configuration again this long after a restore at the latest.
constexpr base::duration longestConfigurationReturn = 500ms;

// Entries of other writers.
constexpr std::size_t manyForeignEntries = 500;
constexpr std::uint64_t mostForeignSlots = 1024;
constexpr std::uint64_t latestStart = 50; // of an entry of another writer, after the one it copies
// Addresses without a machine, between those of the agents and of the entry instances.
constexpr std::uint32_t firstUnusedMachine = 500;
constexpr std::uint32_t unusedMachines = 400;

// Agents forget an entry instance without hellos within this time.
constexpr base::duration forgottenAfter = 4s;

bool affectsAll(trouble kind)
{
    return kind == trouble::storeOutage || kind == trouble::slowStore
            || kind == trouble::everythingKilled;
}

} // namespace

void deployment_simulation::drawTroubles()
{
    std::ranges::generate(m_weights, [this] {
        return chance(absentPercent) ? 0U : static_cast<unsigned>(1 + randomIndex(highestWeight));
    });
    m_weights[static_cast<std::size_t>(trouble::rotationChange)] += 1;
    constexpr std::array<base::duration, 3> intervals { 300ms, 800ms, 2s };
    m_troubleInterval = intervals[randomIndex(intervals.size())];
}

void deployment_simulation::causeTrouble()
{
    unsigned total = 0;
    for (const unsigned weight : m_weights)
        total += weight;
    auto point = static_cast<unsigned>(m_random.below(total));
    std::size_t index = 0;
    while (point >= m_weights[index])
        point -= m_weights[index++];
    const auto kind = static_cast<trouble>(index);
    if (affectsAll(kind)) {
        if (m_now < m_nextGlobalTrouble)
            return;
        m_nextGlobalTrouble = m_now + globalTroubleInterval;
    }
    ++m_counts.troubles[index];
    cause(kind);
}

void deployment_simulation::cause(trouble kind)
{
    switch (kind) {
    case trouble::rotationChange:
        return changeRotation();
    case trouble::rollingRestart:
        return restartAllInTurn();
    case trouble::release:
        return releaseUpstreams();
    case trouble::upstreamAdded:
        return addUpstream();
    case trouble::configurationChange:
        return changeConfiguration();
    case trouble::clientsMove:
        return moveClients();
    case trouble::lateReturns:
        return returnLate();
    case trouble::busyUpstream:
        return slowRequests();
    case trouble::cutLinks:
        return cutLinks();
    case trouble::lossPhase:
        return losePackets();
    case trouble::stall:
        return stallSome();
    case trouble::slowProcess:
        return slowOne();
    case trouble::agentKilled:
        return killAgents();
    case trouble::entryKilled:
        return killEntry(randomIndex(m_entries.size()));
    case trouble::upstreamCrashed:
        return crashOne();
    case trouble::addressReused:
        return reuseAddress();
    case trouble::storeRefusal:
        return refuseReads();
    case trouble::storeOutage:
        return stopStore();
    case trouble::slowStore:
        return slowStore();
    case trouble::everythingKilled:
        return killEverything();
    }
}

deployment_simulation::upstream &deployment_simulation::randomUpstream()
{
    return *m_upstreams[randomIndex(m_upstreams.size())];
}

deployment_simulation::process &deployment_simulation::randomProcess()
{
    if (chance(50))
        return *m_entries[randomIndex(m_entries.size())];
    return randomUpstream();
}

void deployment_simulation::changeRotation()
{
    entry &item = *m_entries[randomIndex(m_entries.size())];
    item.heldOut = true;
    setInRotation(item, false);
    schedule(randomDuration(300ms, 4s), [&item] { item.heldOut = false; });
}

void deployment_simulation::restartAllInTurn()
{
    if (m_restarting)
        return;
    m_restarting = true;
    restartInTurn(0);
}

void deployment_simulation::restartInTurn(std::size_t index)
{
    if (index == m_entries.size()) {
        m_restarting = false;
        return;
    }
    entry &item = *m_entries[index];
    item.stopping = true;
    schedule(stopTime, [this, index, &item, incarnation = item.incarnation] {
        if (item.incarnation != incarnation)
            return;
        stopEntry(index);
        schedule(randomDuration(50ms, 300ms), [this, index, &item] {
            if (!item.running)
                startEntry(index);
        });
    });
    schedule(stopTime + randomDuration(500ms, 2500ms), [this, index] { restartInTurn(index + 1); });
}

void deployment_simulation::releaseUpstreams()
{
    const std::size_t step = 2 + randomIndex(6);
    base::duration delay {};
    for (std::size_t i = randomIndex(step); i < m_upstreams.size(); i += step) {
        schedule(delay, [this, &item = *m_upstreams[i], length = randomDuration(3500ms, 8s)] {
            drainUpstream(item, length);
        });
        delay += randomDuration(100ms, 800ms);
    }
}

void deployment_simulation::addUpstream()
{
    const auto absent =
            std::ranges::find_if(m_upstreams, [](const auto &item) { return item->number == 0; });
    if (absent != m_upstreams.end())
        startUpstream(**absent);
}

void deployment_simulation::changeConfiguration()
{
    for (int i = 0; i < 5; ++i)
        schedule(i * 50ms, [this] {
            ++m_configuration.version;
            writeConfiguration();
        });
}

void deployment_simulation::changeServicesAtTimes()
{
    schedule(randomDuration(m_habitRandom, 1s, 6s), [this] {
        changeServices();
        changeServicesAtTimes();
    });
}

void deployment_simulation::changeServices()
{
    flow_route &route = m_configuration.routes.front();
    switch (m_habitRandom.below(4)) {
    case 0:
        route.services = { { "orders", 1 } };
        break;
    case 1:
        route.services = { { "catalog", 1 } };
        break;
    case 2:
        route.services = { { "orders", 0 }, { "catalog", 100 } };
        break;
    default:
        route.services = { { "orders", 90 }, { "catalog", 10 } };
        break;
    }
    if (m_habits == habits::dropsServices) {
        const bool hasOrders = mayServe(route, "orders");
        m_configuration.services = { "catalog" };
        if (hasOrders || m_declarationRandom.below(4) == 0)
            m_configuration.services.emplace_back("orders");
        m_counts.droppedServices += 2 - static_cast<int>(m_configuration.services.size());
    }
    ++m_counts.serviceChanges;
    ++m_configuration.version;
    writeConfiguration();
    if (!m_restarting && m_habitRandom.below(2) == 0)
        replaceEntry(m_habitRandom.below(m_entries.size()));
}

void deployment_simulation::replaceEntry(std::size_t index)
{
    entry &item = *m_entries[index];
    if (!item.running || item.stopping)
        return;
    ++m_counts.replacedEntries;
    item.stopping = true;
    schedule(stopTime, [this, index, &item, incarnation = item.incarnation] {
        if (item.incarnation != incarnation)
            return;
        stopEntry(index);
        schedule(randomDuration(m_habitRandom, forgottenAfter, forgottenAfter * 2),
                 [this, index, &item] {
                     if (!item.running)
                         startEntry(index);
                 });
    });
}

void deployment_simulation::moveClients()
{
    const auto percent = static_cast<unsigned>(5 + randomIndex(60));
    for (auto &[port, flow] : m_flows) {
        if (!flow.ended && chance(percent))
            flow.zone = 1 - flow.zone;
    }
}

void deployment_simulation::returnLate()
{
    upstream &item = randomUpstream();
    item.lateUntil = m_now + randomDuration(2s, 10s);
    item.longestReturn = randomDuration(10ms, 100ms);
}

void deployment_simulation::slowRequests()
{
    upstream &item = randomUpstream();
    item.busyUntil = m_now + randomDuration(2s, 6s);
    item.busyFactor = static_cast<unsigned>(5 + randomIndex(25));
}

void deployment_simulation::cutLinks()
{
    const base::time_point end = m_now + randomDuration(500ms, 5s);
    const std::size_t direction = randomIndex(3); // 0: both
    const auto percent = static_cast<unsigned>(chance(30) ? 100 : 5 + randomIndex(60));
    const bool ofEntry = chance(50);
    const std::size_t chosen = randomIndex(ofEntry ? m_entries.size() : m_upstreams.size());
    for (std::size_t i = 0; i < m_links.size(); ++i) {
        const std::size_t side = ofEntry ? i / m_upstreams.size() : i % m_upstreams.size();
        if (side != chosen || !chance(percent))
            continue;
        if (direction != 1)
            m_links[i].cutToUpstreamUntil = std::max(m_links[i].cutToUpstreamUntil, end);
        if (direction != 2)
            m_links[i].cutToEntryUntil = std::max(m_links[i].cutToEntryUntil, end);
    }
}

void deployment_simulation::losePackets()
{
    process &item = randomProcess();
    item.lossPercent = static_cast<unsigned>(5 + randomIndex(26));
    item.lossyUntil = std::max(item.lossyUntil, m_now + randomDuration(500ms, 5s));
    item.disruptUntil(item.lossyUntil);
}

void deployment_simulation::stallSome()
{
    const std::size_t count = 1 + randomIndex(4);
    for (std::size_t i = 0; i < count; ++i)
        stallProcess(randomProcess(), randomDuration(30ms, 300ms));
}

void deployment_simulation::slowOne()
{
    process &item = randomProcess();
    item.slowStep = randomDuration(10ms, 100ms);
    item.slowUntil = std::max(item.slowUntil, m_now + randomDuration(1s, 5s));
    item.disruptUntil(item.slowUntil);
    if (item.running && !item.wakes)
        wake(item);
}

void deployment_simulation::killAgent(upstream &item, base::duration restart)
{
    stopAgent(item);
    item.disruptUntil(m_now + restart);
    schedule(restart, [this, &item] {
        if (!item.running)
            startAgent(item);
    });
}

void deployment_simulation::killAgents()
{
    const std::size_t count = 1 + randomIndex(3);
    for (std::size_t i = 0; i < count; ++i)
        killAgent(randomUpstream(), randomDuration(20ms, 1s));
}

void deployment_simulation::killEntry(std::size_t index)
{
    entry &item = *m_entries[index];
    const base::duration restart = randomDuration(50ms, 2s);
    stopEntry(index);
    item.disruptUntil(m_now + restart);
    schedule(restart, [this, index, &item] {
        if (!item.running)
            startEntry(index);
    });
}

void deployment_simulation::crashOne()
{
    upstream &item = randomUpstream();
    if (!item.alive)
        return;
    const base::duration restart = randomDuration(500ms, 6s);
    crashUpstream(item, entryLapse);
    item.disruptUntil(m_now + restart);
    schedule(restart, [this, &item, number = item.number] {
        if (!item.alive && item.number == number)
            startUpstream(item);
    });
}

void deployment_simulation::reuseAddress()
{
    upstream &item = randomUpstream();
    if (!item.alive || !m_twoServices)
        return;
    crashUpstream(item, entryLapse);
    const base::duration restart = randomDuration(500ms, 4s);
    item.disruptUntil(m_now + restart);
    schedule(restart, [this, &item, number = item.number] {
        if (item.alive || item.number != number)
            return;
        item.service = item.service == "orders" ? "catalog" : "orders";
        startUpstream(item);
        startAgent(item);
    });
}

void deployment_simulation::refuseReads()
{
    entry &item = *m_entries[randomIndex(m_entries.size())];
    item.refusedUntil = m_now + randomDuration(1s, 8s);
    item.disruptUntil(item.refusedUntil);
}

void deployment_simulation::stopStore()
{
    m_storeUp = false;
    const base::duration length = randomDuration(1s, 8s);
    m_storeDisruptedUntil = std::max(m_storeDisruptedUntil, m_now + length);
    schedule(length, [this, lapses = length > entryLapse] {
        m_storeUp = true;
        writeConfiguration();
        if (lapses)
            lapseEntries();
    });
}

void deployment_simulation::lapseEntries()
{
    constexpr std::array<unsigned, 3> shares { 0, 40, 100 };
    const unsigned percent = shares[randomIndex(shares.size())];
    for (const auto &item : m_upstreams) {
        if (!item->alive || !m_store.contains(item->id) || !chance(percent))
            continue;
        withdraw(item->id);
        schedule(randomDuration(0ms, longestReturnToList), [this, &item, number = item->number] {
            if (item->alive && item->number == number)
                publish(*item);
        });
    }
}

void deployment_simulation::writeForeignEntriesAtTimes()
{
    schedule(randomDuration(m_writerRandom, 100ms, 2s), [this] {
        if (m_storeUp && m_writerRandom.below(3) == 0)
            removeForeignEntries();
        else if (m_storeUp)
            writeForeignEntries();
        writeForeignEntriesAtTimes();
    });
}

void deployment_simulation::writeForeignEntries()
{
    const bool many = m_writerRandom.below(8) == 0;
    const std::size_t count = many ? manyForeignEntries : 1 + m_writerRandom.below(5);
    for (std::size_t i = 0; i < count; ++i) {
        const upstream_record record = drawForeignEntry();
        m_foreignIds.insert(record.id);
        m_store.put(record, m_now);
        ++m_counts.foreignEntries;
    }
}

upstream_record deployment_simulation::drawForeignEntry()
{
    constexpr std::array<std::string_view, 3> services { "orders", "catalog", "unknown" };
    upstream_record record;
    const upstream_list list = m_store.upstreams();
    if (!list.upstreams.empty())
        record = list.upstreams[m_writerRandom.below(list.upstreams.size())];
    record.id = "foreign-" + std::to_string(m_writerRandom.below(1000));
    if (m_writerRandom.below(2) == 0) // no machine has this address
        record.address.address = firstUnusedMachine
                + static_cast<std::uint32_t>(m_writerRandom.below(unusedMachines));
    if (record.address.address >= firstUnusedMachine && m_addressRandom.below(3) == 0)
        record.address.address = m_entries[m_addressRandom.below(m_entries.size())]->machine;
    if (m_writerRandom.below(2) == 0)
        record.service = services[m_writerRandom.below(services.size())];
    if (m_writerRandom.below(2) == 0)
        record.slots = 1 + static_cast<std::uint32_t>(m_writerRandom.below(mostForeignSlots));
    if (m_writerRandom.below(4) == 0)
        record.phase = upstream_phase::draining;
    if (m_writerRandom.below(4) == 0)
        record.phase = upstream_phase::ready;
    if (m_writerRandom.below(3) == 0)
        record.incarnation = 0;
    if (m_writerRandom.below(3) == 0)
        record.warmUpLeft = 1h;
    // An entry of the upstream's own service with a later start says that it was restarted; nobody
    // can tell that it did not.
    const upstream *copied = record.address.address <= m_upstreams.size()
            ? m_upstreams[record.address.address - 1].get()
            : nullptr;
    if (copied != nullptr && copied->service == record.service)
        record.incarnation = std::min(record.incarnation, copied->born);
    else if (m_startTimeRandom.below(3) == 0)
        record.incarnation += 1 + m_startTimeRandom.below(latestStart);
    return record;
}

void deployment_simulation::removeForeignEntries()
{
    const bool all = m_writerRandom.below(2) == 0;
    while (!m_foreignIds.empty()) {
        m_store.remove(*m_foreignIds.begin(), m_now);
        m_foreignIds.erase(m_foreignIds.begin());
        if (!all)
            return;
    }
}

void deployment_simulation::restoreStoreAtTimes()
{
    schedule(randomDuration(m_storeRandom, 5s, 11s), [this] {
        restoreStore();
        restoreStoreAtTimes();
    });
}

void deployment_simulation::restoreStore()
{
    const auto isChosen = [this](unsigned percent) { return m_storeRandom.below(100) < percent; };
    if (!m_storeUp)
        return;
    if (isChosen(30))
        releaseUpstreams();
    if (isChosen(30))
        restartAllInTurn();
    // So shortly before the outage that it is mostly unread.
    if (isChosen(70)) {
        ++m_configuration.version;
        writeConfiguration();
    }
    const base::duration delay = randomDuration(m_storeRandom, 0ms, 500ms);
    schedule(delay, [this] { beginRestore(); });
    if (isChosen(25))
        schedule(delay + randomDuration(m_storeRandom, 100ms, 5s), [this] { beginRestore(); });
}

base::time_point deployment_simulation::randomCopyTime()
{
    // Either of any age, or before one of the last changes.
    const base::time_point oldest = m_now - longestCopyAge;
    if (m_storeRandom.below(2) == 0)
        return m_now - randomDuration(m_storeRandom, 0ms, longestCopyAge);
    return std::max(oldest, m_store.timeBeforeChange(m_storeRandom.below(mostLostChanges)));
}

void deployment_simulation::beginRestore()
{
    if (!m_storeUp)
        return;
    ++m_counts.restores;
    m_storeUp = false;
    const base::duration outage = randomDuration(m_storeRandom, 0ms, 2500ms);
    m_storeDisruptedUntil = std::max(m_storeDisruptedUntil, m_now + outage);
    schedule(outage, [this, copyTime = randomCopyTime()] {
        m_storeUp = true;
        m_store.restore(copyTime, m_now);
        std::ranges::for_each(m_entries, [](const auto &item) { item->learnedAt = {}; });
        writeAgain();
    });
}

void deployment_simulation::writeAgain()
{
    const bool quickly = m_storeRandom.below(2) == 0;
    const auto delay = [this, quickly](base::duration longest) {
        return randomDuration(m_storeRandom, 0ms, quickly ? quickReturn : longest);
    };
    schedule(delay(longestConfigurationReturn),
             [this] { whenStoreIsUp([this] { writeConfiguration(); }); });
    if (m_controls.evacuation)
        schedule(delay(longestReturnToList), [this] { writeEvacuation(); });
    std::set<std::string> former;
    std::ranges::copy(m_store.ids(), std::inserter(former, former.end()));
    for (const auto &item : m_upstreams) {
        if (!item->alive)
            continue;
        former.erase(item->id);
        schedule(delay(longestReturnToList), [this, &item, number = item->number] {
            whenStoreIsUp([this, &item, number] {
                if (item->alive && item->number == number)
                    publish(*item);
            });
        });
    }
    for (const std::string &id : former)
        schedule(entryLapse, [this, id] { whenStoreIsUp([this, id] { withdraw(id); }); });
}

void deployment_simulation::slowStore()
{
    m_storeSlowUntil = m_now + randomDuration(1s, 4s);
    m_storeDisruptedUntil = std::max(m_storeDisruptedUntil, m_storeSlowUntil);
}

void deployment_simulation::killEverything()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        killEntry(i);
    for (const auto &item : m_upstreams)
        killAgent(*item, randomDuration(50ms, 1s));
}

} // namespace oriolehold::flow
