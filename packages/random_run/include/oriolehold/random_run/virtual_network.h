#pragma once

#include "oriolehold/core/types.h"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

// Virtual time and a network that loses, duplicates and delays packets, driven by one seed.

namespace oriolehold::random_run {

// Clock with a queue of tasks; time advances only in runUntil().
class virtual_time
{
public:
    explicit virtual_time(core::time_point start) : m_now(start) { }

    core::time_point now() const { return m_now; }
    // Schedules the task at the time, or now if the time has passed. Tasks of the same time run in
    // the order in which they were added.
    void at(core::time_point time, std::function<void()> task);
    void after(core::duration delay, std::function<void()> task);
    // Runs all tasks up to and including the end, then sets the clock to it.
    void runUntil(core::time_point end);

private:
    struct scheduled_task
    {
        core::time_point time;
        std::uint64_t sequence = 0; // order of insertion
        std::function<void()> task;

        bool operator>(const scheduled_task &other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    core::time_point m_now;
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<scheduled_task, std::vector<scheduled_task>, std::greater<>> m_tasks;
};

// Identifies one process. A process that is restarted at the same address gets a new identifier.
enum class node_id : std::uint32_t { none = 0 };

// Delays and fault probabilities that apply to every link.
struct link_conditions
{
    core::duration minDelay = std::chrono::microseconds { 200 }; // one way
    core::duration maxDelay = std::chrono::microseconds { 1500 };
    double loss = 0.0;          // probability
    double duplicate = 0.0;     // probability of an extra copy, delayed by up to 20 * maxDelay
    double lateDuplicate = 0.0; // probability of an extra copy, delayed by up to maxLateDelay
    core::duration maxLateDelay = std::chrono::seconds { 100 };
};

// Carries packets between nodes. Nodes are in zones, between which partitions can be set up.
class virtual_network
{
public:
    virtual_network(virtual_time &time, core::random_source &random)
        : m_time(time), m_random(random)
    { }

    node_id addNode(std::string zone);
    // Stops the node for good and discards its deferred tasks.
    void kill(node_id node);
    // Defers all tasks of the node until it is resumed.
    void pause(node_id node);
    void resume(node_id node);
    // True for a node that is alive and not paused.
    bool isRunning(node_id node) const;
    bool isAlive(node_id node) const;

    void setConditions(const link_conditions &conditions) { m_conditions = conditions; }
    const link_conditions &conditions() const { return m_conditions; }
    // Drops all packets from one zone to another until removePartitions(); the opposite direction
    // is not affected.
    void partition(const std::string &fromZone, const std::string &toZone);
    void removePartitions() { m_partitions.clear(); }

    // Runs onArrival at the receiver once for each copy that arrives, from none up to three.
    // findReceiver is called at the time of arrival. If it returns node_id::none or a killed node,
    // onUnreachable runs at the sender; extra copies never run it.
    void transmit(node_id from, const std::function<node_id()> &findReceiver,
                  const std::function<void()> &onArrival,
                  const std::function<void()> &onUnreachable = {});
    // Runs the task on the node now, or when the node is resumed. A killed node discards the task.
    void runOn(node_id node, std::function<void()> task);

private:
    struct node
    {
        std::string zone;
        bool alive = true;
        bool paused = false;
        std::vector<std::function<void()>> deferred; // tasks to run on resume
    };

    void deliverAfter(core::duration delay, node_id from,
                      const std::function<node_id()> &findReceiver,
                      const std::function<void()> &onArrival,
                      const std::function<void()> &onUnreachable);
    core::duration randomDelay(core::duration low, core::duration high);

    virtual_time &m_time;
    core::random_source &m_random;
    link_conditions m_conditions;
    std::map<node_id, node> m_nodes;
    std::set<std::pair<std::string, std::string>> m_partitions; // from zone, to zone
    std::uint32_t m_lastNode = 0;
};

} // namespace oriolehold::random_run
