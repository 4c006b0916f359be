#pragma once

#include "flow_fakes.h"
#include "simulated_store.h"

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>

// Simulates a deployment of the flow path in virtual time. The seed determines its size, its
// clients and its troubles, so a run can be repeated exactly. Unlike flow_simulation it has
// processes that handle their input late, links between two machines, and troubles of single
// machines; a guarantee is checked for the machines that had none.

namespace oriolehold::flow {

enum class trouble : std::uint8_t {
    // Planned work.
    rotationChange,      // the router takes an entry instance out for some time
    rollingRestart,      // entry instances restart one after another
    release,             // upstreams drain and are replaced one after another
    upstreamAdded,       // at an address that was free
    configurationChange, // several versions in quick succession
    // Changes that disrupt no machine.
    clientsMove,  // to the other zone
    lateReturns,  // an upstream returns packets late
    busyUpstream, // the requests at an upstream take longer
    // Unplanned disruptions.
    cutLinks,         // between entry instances and agents, both ways or one way
    lossPhase,        // a machine loses packets
    stall,            // processes do nothing for a short time
    slowProcess,      // a process handles everything late
    agentKilled,      // and started again
    entryKilled,      // and started again
    upstreamCrashed,  // silently; another one starts at its address
    addressReused,    // an upstream crashes and one of another service starts at its address
    storeRefusal,     // the store refuses the reads of one entry instance
    storeOutage,      // entries of sound upstreams may lapse meanwhile
    slowStore,        // reads take up to 1.5 s
    everythingKilled, // all processes are killed and started again
};
inline constexpr std::size_t troubleKinds = 20;

// Settings of a deployment, with the demands on it that they are for.
struct deployment_controls
{
    bool evacuation = false; // zones are evacuated at times
    bool coldLimits = false; // upstreams publish a warm-up with a rate, and there are more flows
    bool overloadControl = false; // all upstreams are slow at times
    bool pace = false;            // likewise
};

class deployment_simulation
{
public:
    // Whether the store keeps all that it acknowledged, or is restored from former copies at times.
    enum class store_history { continuous, restoredAtTimes };

    // Who writes entries of upstreams to the store. Others leave copies of entries and entries of
    // upstreams that do not exist.
    enum class store_writers { upstreamsOnly, othersToo };

    // What clients and the operator do. With varied habits, clients open flows from ports that had
    // a flow before, and versions of the configuration send new flows to other services. With
    // dropsServices, versions also take services without a route out of the configuration.
    enum class habits { plain, varied, dropsServices };

    explicit deployment_simulation(std::uint64_t seed,
                                   store_history history = store_history::continuous,
                                   store_writers writers = store_writers::upstreamsOnly,
                                   habits kind = habits::plain, deployment_controls enabled = {});
    ~deployment_simulation();
    deployment_simulation(const deployment_simulation &) = delete;
    deployment_simulation &operator=(const deployment_simulation &) = delete;

    // Simulates the given time. Returns a description of the first violated guarantee, or an empty
    // string.
    std::string run(std::chrono::seconds length);

    // Number of events in a run, to check that it has traffic and troubles.
    struct statistics
    {
        std::size_t upstreams = 0; // at the start
        std::size_t entries = 0;
        int flowsOpened = 0;
        int flowsEnded = 0; // by the client, after all its requests
        int answers = 0;
        int resets = 0;
        int rehashes = 0; // changes of the entry instances that the router sends packets to
        std::uint64_t searches = 0;
        std::uint64_t held = 0; // requests
        int strays = 0;         // packets of open flows processed at other upstreams
        int judgedStrays = 0;   // those that count for the check of misrouted flows
        int restores = 0;       // of the store
        int foreignEntries = 0; // written by others than the upstreams
        int portsUsedAgain = 0;
        int serviceChanges = 0;  // of routes
        int droppedServices = 0; // by versions of the configuration
        int replacedEntries = 0;
        std::uint64_t refusedCold = 0; // opening packets, by agents
        std::uint64_t overloaded = 0;  // likewise
        int judgedSets = 0;            // evacuated zones of entry instances, in normal operation
        std::array<int, troubleKinds> troubles {};
    };
    // Valid after run().
    const statistics &counts() const { return m_counts; }

private:
    // The sockets of a process. It reads a limited number of datagrams from each in turn.
    enum class socket : std::uint8_t { packets, upstream, messages };
    struct process;
    struct entry;
    struct upstream;
    struct upstream_flow;
    struct request;
    struct link;
    struct client_flow;
    struct offer;
    struct stray;
    class simulated_entry_output;
    class simulated_agent_output;

    void schedule(base::duration delay, std::function<void()> action);
    // Repeats the action at the interval until the run ends.
    void repeat(base::duration interval, const std::function<void()> &action);
    // A random duration in the range; both limits are included.
    base::duration randomDuration(base::duration minimum, base::duration maximum);
    static base::duration randomDuration(base::seeded_random &random, base::duration minimum,
                                         base::duration maximum);
    std::size_t randomIndex(std::size_t count) { return m_random.below(count); }
    bool chance(unsigned percent) { return m_random.below(100) < percent; }
    base::duration networkDelay();
    void reportViolation(std::string text);

    // Processes and their input.
    void deliver(process &target, socket from, std::function<void()> action);
    // The same for what another thread of the process has for it; it is never dropped.
    void post(process &target, std::function<void()> action);
    void enqueue(process &target, socket from, std::function<void()> action);
    void wake(process &target);
    void handleBatch(process &target);
    void stallProcess(process &target, base::duration length);
    void startEntry(std::size_t index);
    void stopEntry(std::size_t index);
    void tickEntry(std::size_t index);
    void startAgent(upstream &item);
    void stopAgent(upstream &item);
    void readStore(std::size_t index);
    // Whether a packet between the machines is lost.
    // The upstream whose agent has the address. Packets of clients may go nowhere else.
    upstream *agentAt(std::uint32_t machine, socket target);
    bool isLost(std::size_t entryIndex, const upstream &item, bool towardsUpstream);
    void tickAll();

    // Upstreams and the store.
    void addUpstreams(std::size_t count);
    void startUpstream(upstream &item);
    void crashUpstream(upstream &item, base::duration lapse);
    void drainUpstream(upstream &item, base::duration replacedAfter);
    void publish(const upstream &item);
    void withdraw(const std::string &id);
    void writeConfiguration();
    void whenStoreIsUp(std::function<void()> action);
    void toUpstream(upstream &item, const packet_head &head);
    void receiveOpening(upstream &item, const packet_head &head);
    void receiveData(upstream &item, upstream_flow &flow, const packet_head &head);
    void returnPacket(upstream &item, packet_head head);
    void openAt(upstream &item, const packet_head &head);
    void beginService(upstream &item);
    void sendAnswer(upstream &item, std::uint16_t port, std::uint32_t end);
    void sendFromUpstream(upstream &item, const packet_head &head, base::duration delay);
    base::duration serviceTime(const upstream &item);

    // Clients and the router.
    void openFlow();
    // A new port, or with varied habits at times one whose flow both ends have closed.
    std::uint16_t choosePort();
    void sendOpening(std::uint16_t port, std::uint32_t use, std::uint32_t copy);
    void sendRequest(std::uint16_t port);
    void sendFinish(std::uint16_t port);
    void transmit(std::uint16_t port);
    void retransmit(std::uint16_t port, std::uint32_t generation, int tries);
    packet_head clientPacket(std::uint16_t port) const;
    void receiveAtClient(const packet_head &head);
    void continueFlow(std::uint16_t port);
    void route(const packet_head &head);
    std::vector<std::size_t> rotationOf(std::size_t zone) const;
    std::size_t chooseEntry(const std::vector<std::size_t> &rotation, std::uint16_t port) const;
    void checkReadiness(std::size_t index);
    void setInRotation(entry &item, bool value);

    // Controls.
    void slowAllAtTimes();
    void checkColdLimit(upstream &item);
    // Remaining warm-up of an upstream with this start, in Unix milliseconds.
    std::chrono::milliseconds warmUpLeft(std::uint64_t born) const;
    void changeEvacuationAtTimes();
    void writeEvacuation();
    void checkEvacuation(const upstream &item, std::size_t entryIndex);
    void checkEvacuatedZones();

    // Troubles.
    void drawTroubles();
    void causeTrouble();
    void cause(trouble kind);
    void changeRotation();
    void restartAllInTurn();
    void restartInTurn(std::size_t index);
    void releaseUpstreams();
    void addUpstream();
    void changeConfiguration();
    void moveClients();
    void returnLate();
    void slowRequests();
    void cutLinks();
    void losePackets();
    void stallSome();
    void slowOne();
    void killAgent(upstream &item, base::duration restart);
    void killAgents();
    void killEntry(std::size_t index);
    void crashOne();
    void reuseAddress();
    void refuseReads();
    void stopStore();
    void lapseEntries();
    void restoreStoreAtTimes();
    void restoreStore();
    void beginRestore();
    base::time_point randomCopyTime();
    void writeAgain();
    void changeServicesAtTimes();
    void changeServices();
    // Planned work: an entry instance leaves, and another one starts at its address when the agents
    // have forgotten it.
    void replaceEntry(std::size_t index);
    void slowStore();
    void writeForeignEntriesAtTimes();
    void writeForeignEntries();
    void removeForeignEntries();
    upstream_record drawForeignEntry();
    void killEverything();
    upstream &randomUpstream();
    process &randomProcess();

    // Checks.
    void noteReset(client_flow &flow, std::uint16_t port, std::size_t entryIndex);
    void noteProcessed(upstream &item, const packet_head &head, std::size_t entryIndex);
    void checkNewFlow(const upstream &item, const packet_head &head, std::size_t entryIndex);
    void checkService(const upstream &item, const packet_head &head, std::size_t entryIndex);
    void eraseExcused(client_flow &flow);
    void checkMisroutingPeriod(std::uint16_t port, client_flow &flow);
    void checkMisrouting();
    void checkMisrouting(std::uint16_t port, client_flow &flow);
    void checkConfigurationOrder(const entry &item);
    void checkViews();
    void checkView(const view_exchange &view);
    // Whether the upstream that holds the flow lives.
    bool ownerLives(std::uint16_t port, const client_flow &flow) const;
    // Whether the two machines, the link between them and the store have had no unplanned
    // disruption since the given time, nor in the recovery time before.
    bool calmSince(base::time_point time, std::size_t entryIndex, const upstream &item) const;
    bool storeCalmSince(base::time_point time) const;

    base::seeded_random m_random;
    // A separate source, so that a seed draws the same deployment with either kind of history.
    base::seeded_random m_storeRandom;
    const store_history m_history;
    base::seeded_random m_writerRandom;
    base::seeded_random m_startTimeRandom; // of entries of other writers
    const store_writers m_writers;
    base::seeded_random m_habitRandom;
    const habits m_habits;
    base::seeded_random m_controlRandom;
    base::seeded_random m_declarationRandom; // of services in the configuration
    base::seeded_random m_addressRandom;     // of entries of other writers
    const deployment_controls m_controls;
    std::set<std::string> m_evacuationKeys; // the operator's newest
    struct zone_state
    {
        bool evacuated = false;
        base::time_point changedAt {}; // acknowledgement of the store
        store_revision writtenAt;      // or written again after a restore
    };
    std::array<zone_state, 2> m_zones;
    base::time_point m_evacuationReadFailedAt {};
    std::vector<std::uint16_t> m_closedPorts; // ports whose flows both ends have closed
    std::set<std::string> m_foreignIds;       // entries of other writers
    base::time_point m_now = atMilliseconds(0);
    std::uint64_t m_order = 0;
    struct event
    {
        base::time_point time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    std::vector<event> m_events; // a heap, the earliest first

    fake_codec m_codec;
    fake_document_codec m_documents;
    recording_observer m_agentObserver;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<std::unique_ptr<upstream>> m_upstreams; // by machine, from 1
    std::vector<link> m_links;                          // entry index * upstreams + upstream index
    std::map<std::uint16_t, client_flow> m_flows;       // by client port
    std::uint16_t m_nextPort = 1000;
    std::uint64_t m_nextId = 1;

    flow_configuration m_configuration; // the operator's newest
    // Versions that the store acknowledged and the times of it, oldest first.
    std::vector<std::pair<base::time_point, std::uint64_t>> m_acknowledgedVersions;
    // Services that take new flows of a route, and the times at which the store acknowledged them.
    struct allowed_services
    {
        base::time_point since {};
        std::vector<std::string> names;
    };
    std::map<std::uint32_t, std::vector<allowed_services>> m_allowedServices; // by address
    simulated_store m_store;
    bool m_storeUp = true;
    base::time_point m_storeSlowUntil {};
    base::time_point m_storeDisruptedUntil {};

    // Properties of the deployment, drawn from the seed.
    const std::chrono::milliseconds m_firstUseDelay; // of the entry instances
    bool m_steadyHash = false;
    bool m_twoServices = false;
    base::duration m_troubleInterval {}; // longest
    std::array<unsigned, troubleKinds> m_weights {};
    base::duration m_flowInterval {}; // mean
    base::time_point m_nextGlobalTrouble {};
    bool m_restarting = false; // entry instances, one after another

    std::string m_violation;
    statistics m_counts;
};

} // namespace oriolehold::flow
