#pragma once

#include "oriolehold/core/types.h"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

// Virtual time and a network with faults, driven by one seed.

namespace oriolehold::random_run {

class virtual_time
{
public:
    explicit virtual_time(core::time_point start) : m_now(start) { }

    core::time_point now() const { return m_now; }
    // Runs the task at the time; tasks of the same time run in the order in which they were added.
    void at(core::time_point time, std::function<void()> task);
    void after(core::duration delay, std::function<void()> task);
    // Runs all tasks up to and including the time.
    void runUntil(core::time_point end);

private:
    struct scheduled_task
    {
        core::time_point time;
        std::uint64_t sequence = 0;
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

// One running process at an address. A new process under the same address is a new node.
enum class node_id : std::uint32_t { none = 0 };

struct link_conditions
{
    core::duration minDelay = std::chrono::microseconds { 200 };
    core::duration maxDelay = std::chrono::microseconds { 1500 };
    double loss = 0.0;          // probability
    double duplicate = 0.0;     // probability of a second copy shortly after
    double lateDuplicate = 0.0; // probability of a second copy up to maxLateDelay later
    core::duration maxLateDelay = std::chrono::seconds { 100 };
};

class virtual_network
{
public:
    virtual_network(virtual_time &time, core::random_source &random)
        : m_time(time), m_random(random)
    { }

    node_id addNode(std::string zone);
    void kill(node_id node);
    // A paused node handles what arrived meanwhile when it is resumed.
    void pause(node_id node);
    void resume(node_id node);
    bool isRunning(node_id node) const;
    bool isAlive(node_id node) const;

    void setConditions(const link_conditions &conditions) { m_conditions = conditions; }
    const link_conditions &conditions() const { return m_conditions; }
    // Drops everything from one zone to another until removePartitions().
    void partition(const std::string &fromZone, const std::string &toZone);
    void removePartitions() { m_partitions.clear(); }

    // Runs onArrival at the receiver after the delay, zero, one or two times. findReceiver gives
    // the receiver at the time of arrival; node_id::none means that nobody has the address, which
    // runs onUnreachable at the sender.
    void transmit(node_id from, const std::function<node_id()> &findReceiver,
                  const std::function<void()> &onArrival,
                  const std::function<void()> &onUnreachable = {});
    // Runs the task on the node now, or when it is resumed; never when it is dead.
    void runOn(node_id node, std::function<void()> task);

private:
    struct node
    {
        std::string zone;
        bool alive = true;
        bool paused = false;
        std::vector<std::function<void()>> deferred;
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
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::uint32_t m_lastNode = 0;
};

} // namespace oriolehold::random_run
