#include "simulation.h"

#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <cmath>

namespace oriolehold::random_run {

namespace {

using namespace std::chrono_literals;

constexpr core::service_id ordersService { 1 };
constexpr core::service_id catalogService { 2 };
constexpr std::uint32_t callerNetwork = 0x0a000000; // 10.0.0.0
constexpr std::uint16_t port = 5683;
constexpr std::size_t guideSize = 20'000; // bytes
constexpr core::duration advanceInterval = 5ms;
// Longest delay until a process applies a published document.
constexpr core::duration maxApplyDelay = 2s;
constexpr core::duration settleTime = 40s; // at the end, without changes or new requests

core::service makeService(core::service_id id)
{
    core::service service;
    service.id = id;
    service.tenant = "manao";
    service.address = { 0x0a0a0000u + core::toInteger(id), port };
    if (id == ordersService) {
        service.name = "orders";
        service.classes = {
            { "order", core::class_kind::request, core::request_method::post, "orders", false, 0,
              5s },
            { "feed", core::class_kind::feed, core::request_method::get, "stock", true, 0, 5s },
        };
    } else {
        service.name = "catalog";
        service.classes = {
            { "guide", core::class_kind::download, core::request_method::get, "guides", true, 1,
              10s },
        };
    }
    return service;
}

} // namespace

simulation::simulation(const run_options &options)
    : m_options(options), m_random(options.seed),
      m_time(core::time_point { std::chrono::hours { 24 * 365 * 50 } }),
      m_network(m_time, m_random), m_callerContext {
          m_time, m_random, m_history,
          [this](const core::endpoint &caller, core::service_id service,
                 const core::byte_vector &packet) { sendFromCaller(caller, service, packet); }
      }
{
    createInitialSystem();
}

void simulation::createInitialSystem()
{
    m_fabric = m_network.addNode("fabric");
    m_content.services = { makeService(ordersService), makeService(catalogService) };
    rotateKeys();
    for (int i = 0; i < 3; ++i)
        addEntry();
    for (int i = 0; i < 4; ++i)
        addUpstream();
    // The initial processes start with the complete document.
    publish();
    for (const auto &[address, entry] : m_entries)
        entry->configure(m_published);
    for (const auto &[address, agent] : m_agents)
        agent->configure(m_published);
}

run_result simulation::run()
{
    startTraffic();
    scheduleSteps();
    m_time.after(advanceInterval, [this] { advanceProcesses(); });
    m_time.runUntil(m_time.now() + m_options.length + settleTime);
    m_result.totals = m_history.totals();
    return m_result;
}

entry_process *simulation::entryAt(const core::endpoint &address)
{
    const auto found = m_entries.find(address);
    return found == m_entries.end() ? nullptr : found->second;
}

agent_process *simulation::agentAt(const core::endpoint &address)
{
    const auto found = m_agents.find(address);
    return found == m_agents.end() ? nullptr : found->second;
}

node_id simulation::nodeOfEntry(const core::endpoint &address)
{
    const entry_process *entry = entryAt(address);
    return entry == nullptr ? node_id::none : entry->node();
}

node_id simulation::nodeOfAgent(const core::endpoint &address)
{
    const agent_process *agent = agentAt(address);
    return agent == nullptr ? node_id::none : agent->node();
}

core::endpoint simulation::moduloOwner(const core::endpoint &caller, core::service_id service) const
{
    std::vector<core::endpoint> live;
    for (const core::upstream &item : m_content.upstreams) {
        if (item.service == service && item.state == core::upstream_state::live)
            live.push_back(item.agent);
    }
    return live[core::endpoint_hash()(caller) % live.size()];
}

void simulation::sendToCaller(node_id from, const core::endpoint &address,
                              core::service_id /*service*/, const core::byte_vector &packet)
{
    m_network.transmit(
            from, [this] { return m_fabric; },
            [this, address, packet] { m_callers.at(address)->receive(packet); });
}

void simulation::sendFromCaller(const core::endpoint &address, core::service_id service,
                                const core::byte_vector &packet)
{
    const core::endpoint entry = m_fabricEntries[m_random.below(m_fabricEntries.size())];
    m_network.transmit(
            m_fabric, [this, entry] { return nodeOfEntry(entry); },
            [this, entry, address, service, packet] {
                entryAt(entry)->receiveFromCaller(address, service, packet);
            });
}

void simulation::publish()
{
    ++m_content.generation;
    m_published = std::make_shared<const core::configuration>(m_content);
    m_documents.push_back(m_published);
    distribute(m_published);
}

void simulation::distribute(const core::configuration_pointer &configuration)
{
    // Each process applies the document after its own delay, so that processes temporarily use
    // different generations.
    const auto configureLater = [&](auto *process) {
        m_time.after(randomDuration(100ms, maxApplyDelay), [this, process, configuration] {
            m_network.runOn(process->node(),
                            [process, configuration] { process->configure(configuration); });
        });
    };
    for (const auto &item : m_entries)
        configureLater(item.second);
    for (const auto &item : m_agents)
        configureLater(item.second);
}

void simulation::startTraffic()
{
    for (int i = 0; i < m_options.feeds; ++i)
        m_time.after(randomDuration(0s, 3s), [this] { addFeed(); });
    scheduleArrivals(m_options.ordersPerSecond, [this] { addOrder(); });
    scheduleArrivals(m_options.guidesPerSecond, [this] { addGuide(); });
}

void simulation::scheduleArrivals(double perSecond, const std::function<void()> &arrival)
{
    const double seconds = -std::log(1.0 - m_random.uniform01()) / perSecond;
    const core::duration gap { static_cast<core::duration::rep>(seconds * 1e6) };
    const core::time_point end =
            core::time_point { std::chrono::hours { 24 * 365 * 50 } } + m_options.length;
    if (m_time.now() + gap > end)
        return;
    m_time.after(gap, [this, perSecond, arrival] {
        arrival();
        scheduleArrivals(perSecond, arrival);
    });
}

core::endpoint simulation::nextCallerAddress()
{
    return { callerNetwork + m_nextCaller++, port };
}

core::endpoint simulation::addCaller(std::unique_ptr<caller> client)
{
    const core::endpoint address { callerNetwork + m_nextCaller - 1, port };
    m_callers[address] = client.get();
    m_allCallers.push_back(std::move(client));
    m_allCallers.back()->start();
    return address;
}

void simulation::addOrder()
{
    const core::endpoint address = nextCallerAddress();
    addCaller(std::make_unique<order_caller>(m_callerContext, address, ordersService,
                                             "order-" + std::to_string(address.address)));
}

void simulation::addGuide()
{
    const core::endpoint address = nextCallerAddress();
    addCaller(std::make_unique<guide_caller>(m_callerContext, address, catalogService,
                                             "guide-" + std::to_string(address.address),
                                             guideSize));
}

void simulation::addFeed()
{
    const core::endpoint address = nextCallerAddress();
    addCaller(std::make_unique<feed_caller>(m_callerContext, address, ordersService,
                                            "feed-" + std::to_string(address.address)));
}

void simulation::advanceProcesses()
{
    for (const auto &[address, entry] : m_entries) {
        if (m_network.isRunning(entry->node()))
            entry->advance();
    }
    for (const auto &[address, agent] : m_agents) {
        if (m_network.isRunning(agent->node()))
            agent->advance();
    }
    m_time.after(advanceInterval, [this] { advanceProcesses(); });
}

core::duration simulation::randomDuration(core::duration low, core::duration high)
{
    return low
            + core::duration { static_cast<core::duration::rep>(
                    m_random.below(static_cast<std::uint64_t>((high - low).count()) + 1)) };
}

core::service_id simulation::randomService()
{
    return m_random.below(2) == 0 ? ordersService : catalogService;
}

agent_process &simulation::startAgent(const core::upstream &description,
                                      core::incarnation incarnation)
{
    m_allAgents.push_back(std::make_unique<agent_process>(*this, description, incarnation));
    agent_process &agent = *m_allAgents.back();
    m_agents[description.agent] = &agent;
    return agent;
}

entry_process &simulation::startEntry(const core::entry_instance &description)
{
    m_allEntries.push_back(std::make_unique<entry_process>(*this, description));
    entry_process &entry = *m_allEntries.back();
    m_entries[description.address] = &entry;
    return entry;
}

agent_process *simulation::randomAgent()
{
    auto position = m_agents.begin();
    std::advance(position, static_cast<std::ptrdiff_t>(m_random.below(m_agents.size())));
    return position->second;
}

run_result runOnce(const run_options &options)
{
    simulation *current = nullptr;
    static simulation *running = nullptr;
    const auto throwViolation = [](std::string_view text, const char * /*file*/, int /*line*/) {
        const auto now = running->time().now().time_since_epoch();
        throw violation(std::string(text) + " at " + std::to_string(now.count()) + " us");
    };
    const core::invariant_handler previous = core::setInvariantHandler(throwViolation);
    try {
        simulation instance(options);
        current = &instance;
        running = current;
        run_result result = instance.run();
        core::setInvariantHandler(previous);
        return result;
    } catch (...) {
        core::setInvariantHandler(previous);
        throw;
    }
}

} // namespace oriolehold::random_run
