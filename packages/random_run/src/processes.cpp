#include "simulation.h"

#include <algorithm>

namespace oriolehold::random_run {

namespace {

using namespace std::chrono_literals;

constexpr double shedProbability = 0.02; // of a job, in runs with faults

core::entry_router_options routerOptions(const core::entry_instance &description)
{
    core::entry_router_options options;
    options.zone = description.zone;
    return options;
}

core::agent_core_options coreOptions(const core::upstream &description,
                                     core::incarnation incarnation)
{
    core::agent_core_options options;
    options.upstream = description.id;
    options.incarnation = incarnation;
    options.drainLimit = 30s;
    return options;
}

} // namespace

std::size_t modulo_policy::choose(std::span<const core::upstream_candidate> candidates,
                                  core::random_source & /*random*/)
{
    const core::endpoint owner = m_simulation.moduloOwner(m_caller, m_service);
    const auto found =
            std::ranges::find_if(candidates, [&](const core::upstream_candidate &candidate) {
                return candidate.upstream->agent == owner;
            });
    return found == candidates.end() ? 0 : static_cast<std::size_t>(found - candidates.begin());
}

void modulo_policy::setFlow(const core::endpoint &caller, core::service_id service)
{
    m_caller = caller;
    m_service = service;
}

entry_process::entry_process(simulation &simulation, const core::entry_instance &description)
    : m_simulation(simulation), m_description(description),
      m_node(simulation.network().addNode(description.zone)),
      m_policy(core::makeBalancingPolicy(core::defaultBalancingPolicy)), m_moduloPolicy(simulation),
      m_router(routerOptions(description),
               simulation.options().variant == variant::moduloRouting
                       ? static_cast<core::balancing_policy &>(m_moduloPolicy)
                       : *m_policy,
               simulation.random())
{ }

void entry_process::configure(const core::configuration_pointer &configuration)
{
    if (!m_router.configure(configuration, m_simulation.time().now()))
        return;
    if (m_configuration && configuration->generation() < m_configuration->generation())
        throw violation("an entry instance returned to an older document");
    m_configuration = configuration;
}

void entry_process::receiveFromCaller(const core::endpoint &caller, core::service_id service,
                                      const core::byte_vector &packet)
{
    m_moduloPolicy.setFlow(caller, service);
    const core::route_decision decision =
            m_router.route(caller, service, packet, m_simulation.time().now());
    if (decision.verdict == core::route_verdict::reply)
        m_simulation.sendToCaller(m_node, caller, service,
                                  { decision.reply.begin(), decision.reply.end() });
    else if (decision.verdict == core::route_verdict::forward)
        forward(m_simulation.options().variant == variant::moduloRouting
                        ? m_simulation.moduloOwner(caller, service)
                        : decision.agent,
                caller, service, packet);
}

void entry_process::forward(const core::endpoint &agent, const core::endpoint &caller,
                            core::service_id service, const core::byte_vector &packet)
{
    m_simulation.network().transmit(
            m_node, [this, agent] { return m_simulation.nodeOfAgent(agent); },
            [this, agent, caller, service, packet] {
                m_simulation.agentAt(agent)->receive(m_description.address, caller, service,
                                                     packet);
            },
            [this, agent] { m_router.observeUnreachable(agent, m_simulation.time().now()); });
}

void entry_process::receiveDelivery(const core::endpoint &agent, const core::endpoint &caller,
                                    core::service_id service, const core::agent_report &report,
                                    const core::byte_vector &packet)
{
    m_router.observe(agent, report, m_simulation.time().now());
    const core::upstream *upstream =
            m_configuration ? m_configuration->findUpstream(report.upstream) : nullptr;
    if (upstream == nullptr || upstream->service == service)
        m_simulation.sendToCaller(m_node, caller, service, packet);
}

void entry_process::receiveProbeReply(const core::endpoint &agent, const core::agent_report &report)
{
    m_router.observe(agent, report, m_simulation.time().now());
}

void entry_process::advance()
{
    for (const core::endpoint &agent : m_router.probesDue(m_simulation.time().now())) {
        m_simulation.network().transmit(
                m_node, [this, agent] { return m_simulation.nodeOfAgent(agent); },
                [this, agent] {
                    agent_process &process = *m_simulation.agentAt(agent);
                    process.observeEntry(m_description.address);
                    m_simulation.network().transmit(
                            process.node(),
                            [this] { return m_simulation.nodeOfEntry(m_description.address); },
                            [this, agent, report = process.report()] {
                                receiveProbeReply(agent, report);
                            });
                },
                [this, agent] { m_router.observeUnreachable(agent, m_simulation.time().now()); });
    }
}

agent_process::agent_process(simulation &simulation, const core::upstream &description,
                             core::incarnation incarnation)
    : m_simulation(simulation), m_description(description), m_incarnation(incarnation),
      m_node(simulation.network().addNode(description.zone)),
      m_scheduler(core::makeScheduler(core::defaultSchedulerName)),
      m_core(coreOptions(description, incarnation), *this, *m_scheduler, simulation.random()),
      m_upstream(simulation.time(), simulation.random(), simulation.history(), description,
                 simulation.options().plan == change_plan::planned ? 0.0 : shedProbability,
                 { [this](core::job_id job, const core::upstream_answer &answer) {
                      m_simulation.network().runOn(m_node, [this, job, answer] {
                          m_core.completeJob(job, answer, m_simulation.time().now());
                      });
                  },
                   [this](core::feed_id feed, core::byte_view payload) {
                       const core::byte_vector copy(payload.begin(), payload.end());
                       m_simulation.network().runOn(m_node, [this, feed, copy] {
                           m_core.updateFeed(feed, copy, m_simulation.time().now());
                       });
                   } })
{ }

void agent_process::configure(const core::configuration_pointer &configuration)
{
    m_core.configure(configuration, m_simulation.time().now());
}

void agent_process::receive(const core::endpoint &entry, const core::endpoint &caller,
                            core::service_id service, const core::byte_vector &packet)
{
    m_core.receive(entry, caller, service, packet, m_simulation.time().now());
}

void agent_process::observeEntry(const core::endpoint &entry)
{
    m_core.observeEntry(entry, m_simulation.time().now());
}

void agent_process::receiveHandover(const core::endpoint &from,
                                    const core::handover_message &message)
{
    m_core.receiveHandover(from, message, m_simulation.time().now());
}

void agent_process::drain()
{
    m_core.drain(m_simulation.time().now());
}

bool agent_process::drained() const
{
    return m_core.drained(m_simulation.time().now());
}

void agent_process::kill()
{
    m_simulation.network().kill(m_node);
    m_upstream.kill();
}

void agent_process::advance()
{
    const core::time_point now = m_simulation.time().now();
    if (m_core.nextTimer() <= now)
        m_core.advance(now);
}

core::agent_report agent_process::report() const
{
    return m_core.report(m_simulation.time().now());
}

void agent_process::deliver(const core::endpoint &entry, const core::endpoint &caller,
                            core::service_id service, core::byte_view message)
{
    m_simulation.network().transmit(
            m_node, [this, entry] { return m_simulation.nodeOfEntry(entry); },
            [this, entry, caller, service, report = report(),
             packet = core::byte_vector(message.begin(), message.end())] {
                m_simulation.entryAt(entry)->receiveDelivery(m_description.agent, caller, service,
                                                             report, packet);
            });
}

void agent_process::startJob(const core::upstream_request &request)
{
    m_upstream.startJob(request);
}

void agent_process::cancelJob(core::job_id job)
{
    m_upstream.cancelJob(job);
}

void agent_process::startFeed(core::feed_id feed, const core::feed_state & /*state*/)
{
    m_upstream.startFeed(feed);
}

void agent_process::stopFeed(core::feed_id feed)
{
    m_upstream.stopFeed(feed);
}

void agent_process::sendHandover(const core::endpoint &agent, const core::handover_message &message)
{
    if (message.step == core::handover_step::done)
        m_simulation.recordHandover();
    m_simulation.network().transmit(
            m_node, [this, agent] { return m_simulation.nodeOfAgent(agent); },
            [this, agent, message] {
                m_simulation.agentAt(agent)->receiveHandover(m_description.agent, message);
            });
}

void agent_process::recordResult(std::string_view /*className*/, core::result_code /*code*/,
                                 core::duration /*wait*/, core::duration /*service*/,
                                 core::duration /*total*/)
{ }

} // namespace oriolehold::random_run
