#pragma once

#include "oriolehold/core/agent_core.h"
#include "oriolehold/core/balancing_policy_factory.h"
#include "oriolehold/core/entry_router.h"
#include "oriolehold/core/slot_scheduler_factory.h"
#include "oriolehold/random_run/caller_model.h"
#include "oriolehold/random_run/random_run.h"
#include "oriolehold/random_run/upstream_model.h"

#include <map>
#include <memory>
#include <vector>

// Processes of a randomised run, and the simulation that connects them.

namespace oriolehold::random_run {

class simulation;

// Chooses the upstream by a hash of the caller over the live upstreams, for the variant
// moduloRouting.
class modulo_policy final : public core::balancing_policy
{
public:
    explicit modulo_policy(simulation &simulation) : m_simulation(simulation) { }

    std::string_view name() const override { return "modulo"; }
    std::size_t choose(std::span<const core::upstream_candidate> candidates,
                       core::random_source &random) override;
    // Sets the flow that the next choose() is for.
    void setFlow(const core::endpoint &caller, core::service_id service);

private:
    simulation &m_simulation;
    core::endpoint m_caller;
    core::service_id m_service {};
};

// Runs an entry router on a node of the virtual network.
class entry_process
{
public:
    entry_process(simulation &simulation, const core::entry_instance &description);

    void configure(const core::configuration_pointer &configuration);
    void receiveFromCaller(const core::endpoint &caller, core::service_id service,
                           const core::byte_vector &packet);
    void receiveDelivery(const core::endpoint &agent, const core::endpoint &caller,
                         core::service_id service, const core::agent_report &report,
                         const core::byte_vector &packet);
    void receiveProbeReply(const core::endpoint &agent, const core::agent_report &report);
    void advance();

    const core::entry_instance &description() const { return m_description; }
    node_id node() const { return m_node; }

private:
    void forward(const core::endpoint &agent, const core::endpoint &caller,
                 core::service_id service, const core::byte_vector &packet);

    simulation &m_simulation;
    core::entry_instance m_description;
    node_id m_node;
    std::unique_ptr<core::balancing_policy> m_policy;
    modulo_policy m_moduloPolicy;
    core::entry_router m_router;
    core::configuration_pointer m_configuration;
};

// Runs an agent core and its upstream model on a node of the virtual network.
class agent_process final : private core::agent_actions
{
public:
    agent_process(simulation &simulation, const core::upstream &description,
                  core::incarnation incarnation);

    void configure(const core::configuration_pointer &configuration);
    void receive(const core::endpoint &entry, const core::endpoint &caller,
                 core::service_id service, const core::byte_vector &packet);
    void observeEntry(const core::endpoint &entry);
    void receiveHandover(const core::endpoint &from, const core::handover_message &message);
    void drain();
    bool drained() const;
    void kill();
    void advance();

    core::agent_report report() const;
    core::incarnation incarnation() const { return m_incarnation; }
    const core::upstream &description() const { return m_description; }
    node_id node() const { return m_node; }

private:
    void deliver(const core::endpoint &entry, const core::endpoint &caller,
                 core::service_id service, core::byte_view message) override;
    void startJob(const core::upstream_request &request) override;
    void cancelJob(core::job_id job) override;
    void startFeed(core::feed_id feed, const core::feed_state &state) override;
    void stopFeed(core::feed_id feed) override;
    void sendHandover(const core::endpoint &agent, const core::handover_message &message) override;
    void recordResult(std::string_view className, core::result_code code, core::duration wait,
                      core::duration service, core::duration total) override;

    simulation &m_simulation;
    core::upstream m_description;
    core::incarnation m_incarnation;
    node_id m_node;
    std::unique_ptr<core::slot_scheduler> m_scheduler;
    core::agent_core m_core;
    upstream_model m_upstream;
};

// Owns the network, processes and callers of one run, and schedules its traffic and changes.
class simulation
{
public:
    explicit simulation(const run_options &options);

    run_result run();

    virtual_time &time() { return m_time; }
    virtual_network &network() { return m_network; }
    core::random_source &random() { return m_random; }
    run_history &history() { return m_history; }
    const run_options &options() const { return m_options; }

    // Return the process at the address, or nullptr.
    entry_process *entryAt(const core::endpoint &address);
    agent_process *agentAt(const core::endpoint &address);
    // Return the node of the process at the address, or node_id::none.
    node_id nodeOfEntry(const core::endpoint &address);
    node_id nodeOfAgent(const core::endpoint &address);
    void sendToCaller(node_id from, const core::endpoint &caller, core::service_id service,
                      const core::byte_vector &packet);
    void recordHandover() { ++m_result.feedsHandedOver; }
    // Returns the agent that a hash of the caller over the live upstreams gives, for the variant
    // moduloRouting.
    core::endpoint moduloOwner(const core::endpoint &caller, core::service_id service) const;

private:
    using step = void (simulation::*)();

    void createInitialSystem();
    // Makes m_content the next generation of the document and distributes it.
    void publish();
    // Schedules the document for every process with a random delay for each.
    void distribute(const core::configuration_pointer &configuration);
    void startTraffic();
    // Runs arrival at random times with exponential gaps until the traffic ends.
    void scheduleArrivals(double perSecond, const std::function<void()> &arrival);
    void addOrder();
    void addGuide();
    void addFeed();
    core::endpoint addCaller(std::unique_ptr<caller> client);
    core::endpoint nextCallerAddress();
    void sendFromCaller(const core::endpoint &caller, core::service_id service,
                        const core::byte_vector &packet);
    void advanceProcesses();
    void scheduleSteps();
    void runRandomStep();
    core::duration randomDuration(core::duration low, core::duration high);
    core::service_id randomService();

    agent_process &startAgent(const core::upstream &description, core::incarnation incarnation);
    entry_process &startEntry(const core::entry_instance &description);
    agent_process *randomAgent();

    // Planned changes. Each does nothing when it would exceed a limit on the number of processes
    // or the rate of key rotation.
    void addUpstream();
    void drainUpstream();
    void addEntry();
    void removeEntry();
    void rotateKeys();
    // Faults.
    void restartAgent();
    void pauseAgent();
    void killEntry();
    void pauseEntry();
    void partitionZones();
    void degradeLinks();
    void restorePlatform();

    run_options m_options;
    core::seeded_random m_random;
    virtual_time m_time;
    virtual_network m_network;
    run_history m_history;
    run_result m_result;
    core::configuration_content m_content;
    core::configuration_pointer m_published;              // what the platform serves
    std::vector<core::configuration_pointer> m_documents; // all that were published, oldest first
    caller_context m_callerContext;
    node_id m_fabric = node_id::none; // sends and receives the packets of all callers
    std::uint8_t m_nextKey = 1;
    std::uint16_t m_nextUpstream = 1;
    std::uint16_t m_nextEntry = 1;
    std::uint32_t m_nextCaller = 1;
    std::uint32_t m_nextIncarnation = 1;
    core::time_point m_nextRotation;
    std::map<core::service_id, std::uint8_t> m_nextIndex;
    std::vector<core::endpoint> m_fabricEntries; // entry instances that the fabric uses
    std::map<core::endpoint, entry_process *> m_entries;
    std::map<core::endpoint, agent_process *> m_agents;
    std::map<core::endpoint, caller *> m_callers;
    // Processes and callers are kept until the end of the run, because scheduled tasks refer to
    // them.
    std::vector<std::unique_ptr<entry_process>> m_allEntries;
    std::vector<std::unique_ptr<agent_process>> m_allAgents;
    std::vector<std::unique_ptr<caller>> m_allCallers;
};

} // namespace oriolehold::random_run
