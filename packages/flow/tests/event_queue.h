#pragma once

#include "flow_fakes.h"

#include <functional>
#include <queue>
#include <tuple>

namespace oriolehold::flow {

// Actions in virtual time. Those of the same time run in the order in which they were added.
class event_queue
{
public:
    base::time_point now() const { return m_now; }
    void at(base::time_point time, std::function<void()> action)
    {
        m_events.push({ time, ++m_count, std::move(action) });
    }
    void after(base::duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }
    void repeat(base::duration interval, const std::function<void()> &action)
    {
        after(interval, [this, interval, action] {
            action();
            repeat(interval, action);
        });
    }
    // Runs the actions before the end.
    void runUntil(base::time_point end)
    {
        while (!m_events.empty() && m_events.top().time < end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.action();
        }
    }

private:
    struct event
    {
        base::time_point time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };

    std::priority_queue<event> m_events;
    std::uint64_t m_count = 0;
    base::time_point m_now = atMilliseconds(0);
};

} // namespace oriolehold::flow
