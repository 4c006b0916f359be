#include "oriolehold/random_run/virtual_network.h"

#include <tuple>
#include <utility>

namespace oriolehold::random_run {

void virtual_time::at(core::time_point time, std::function<void()> task)
{
    m_tasks.push({ std::max(time, m_now), m_nextSequence++, std::move(task) });
}

void virtual_time::after(core::duration delay, std::function<void()> task)
{
    at(m_now + delay, std::move(task));
}

void virtual_time::runUntil(core::time_point end)
{
    while (!m_tasks.empty() && m_tasks.top().time <= end) {
        const std::function<void()> task = m_tasks.top().task;
        m_now = m_tasks.top().time;
        m_tasks.pop();
        task();
    }
    m_now = end;
}

node_id virtual_network::addNode(std::string zone)
{
    const node_id id { ++m_lastNode };
    m_nodes[id].zone = std::move(zone);
    return id;
}

void virtual_network::kill(node_id id)
{
    node &target = m_nodes.at(id);
    target.alive = false;
    target.deferred.clear();
}

void virtual_network::pause(node_id id)
{
    m_nodes.at(id).paused = true;
}

void virtual_network::resume(node_id id)
{
    node &target = m_nodes.at(id);
    target.paused = false;
    const auto tasks = std::exchange(target.deferred, {});
    for (const auto &task : tasks)
        runOn(id, task);
}

bool virtual_network::isRunning(node_id id) const
{
    const node &target = m_nodes.at(id);
    return target.alive && !target.paused;
}

bool virtual_network::isAlive(node_id id) const
{
    return m_nodes.at(id).alive;
}

void virtual_network::partition(const std::string &fromZone, const std::string &toZone)
{
    m_partitions.emplace(fromZone, toZone);
}

void virtual_network::transmit(node_id from, const std::function<node_id()> &findReceiver,
                               const std::function<void()> &onArrival,
                               const std::function<void()> &onUnreachable)
{
    const core::duration delay = randomDelay(m_conditions.minDelay, m_conditions.maxDelay);
    if (m_random.uniform01() >= m_conditions.loss)
        deliverAfter(delay, from, findReceiver, onArrival, onUnreachable);
    if (m_random.uniform01() < m_conditions.duplicate)
        deliverAfter(randomDelay(delay, 20 * m_conditions.maxDelay), from, findReceiver, onArrival,
                     {});
    if (m_random.uniform01() < m_conditions.lateDuplicate)
        deliverAfter(randomDelay(delay, m_conditions.maxLateDelay), from, findReceiver, onArrival,
                     {});
}

void virtual_network::deliverAfter(core::duration delay, node_id from,
                                   const std::function<node_id()> &findReceiver,
                                   const std::function<void()> &onArrival,
                                   const std::function<void()> &onUnreachable)
{
    m_time.after(delay, [this, from, findReceiver, onArrival, onUnreachable] {
        const node_id to = findReceiver();
        if (to == node_id::none || !m_nodes.at(to).alive) {
            if (onUnreachable)
                m_time.after(m_conditions.minDelay,
                             [this, from, onUnreachable] { runOn(from, onUnreachable); });
            return;
        }
        if (!m_partitions.contains({ m_nodes.at(from).zone, m_nodes.at(to).zone }))
            runOn(to, onArrival);
    });
}

void virtual_network::runOn(node_id id, std::function<void()> task)
{
    node &target = m_nodes.at(id);
    if (!target.alive)
        return;
    if (target.paused)
        target.deferred.push_back(std::move(task));
    else
        task();
}

core::duration virtual_network::randomDelay(core::duration low, core::duration high)
{
    if (high <= low)
        return low;
    return low
            + core::duration { static_cast<core::duration::rep>(
                    m_random.below(static_cast<std::uint64_t>((high - low).count()))) };
}

} // namespace oriolehold::random_run
