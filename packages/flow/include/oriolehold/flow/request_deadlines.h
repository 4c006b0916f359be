#pragma once

#include "oriolehold/flow/packet.h"

#include <queue>
#include <vector>

// Decides until when a request without an answer counts as running at the upstream, also after its
// client has left.

namespace oriolehold::flow {

class request_deadlines
{
public:
    // A request without an answer counts as running for at most this time. A client that leaves
    // without a packet changes nothing: the upstream answers it all the same, or has stalled and
    // must not get others in its place.
    static constexpr std::chrono::seconds maxLifetime { 3 };
    // Upstreams may work on a request whose client has left, and do not tell when they end it. It
    // counts as running until this many mean service times after its delivery, so that its place is
    // not given away while the upstream probably still needs it. With exponential times, one
    // request in twenty takes longer.
    static constexpr int workFactor = 3;

    // A request was delivered.
    void begin(const flow_key &key, base::time_point now)
    {
        m_items.push({ now + maxLifetime, now, key });
    }
    // Its client has closed or reset the flow.
    void leave(const flow_key &key, base::time_point begin, base::duration meanServiceTime,
               base::time_point now)
    {
        m_items.push({ std::max(now, begin + workFactor * meanServiceTime), begin, key });
    }

    // Calls onDue(key, begin) for each request whose time has passed. Answered ones are included.
    template<typename Handler>
    void expire(base::time_point now, const Handler &onDue)
    {
        while (!m_items.empty() && m_items.top().dueAt <= now) {
            const item due = m_items.top();
            m_items.pop();
            onDue(due.key, due.begin);
        }
    }

private:
    struct item
    {
        base::time_point dueAt {};
        base::time_point begin {};
        flow_key key;

        bool operator<(const item &other) const { return dueAt > other.dueAt; }
    };

    std::priority_queue<item> m_items; // the next one on top
};

} // namespace oriolehold::flow
