#pragma once

#include "oriolehold/flow/packet.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <vector>

// Holds requests while the upstream is busy, so that its own queue stays short and the agent
// decides the order under overload: first requests that can still meet their latency objective,
// among these the most urgent ones, among these the newest.

namespace oriolehold::flow {

// Priority and time limits of a request, set on arrival.
struct request_constraints
{
    std::uint8_t priority = 0;   // 0 is the most urgent
    base::time_point startBy {}; // started later, it misses its latency objective
    // Released at this time in any case, so that the upstream serves or refuses it well before its
    // client times out.
    base::time_point releaseBy {};
    base::time_point expiresAt {}; // its client has left then
    // Started later, it misses its latency objective unless it takes less than usual.
    base::time_point safeBy {};
};

class hold_queue
{
public:
    // Requests in the upstream's own queue, beside those in its slots. They keep the slots busy
    // while an answer is on its way.
    static constexpr std::uint32_t upstreamQueueLimit = 1;
    // Packets held for one request. Clients have at most 16 in flight.
    static constexpr std::size_t maxPackets = 16;
    // Requests held at the same time. Further ones are not held.
    static constexpr std::size_t maxHeld = 512;
    // The same under overload control. Requests stay for their whole time-out then, and one that is
    // not held takes the place of one that can be in time.
    static constexpr std::size_t maxHeldControlled = 4096;
    // Of this many releases one is for less urgent requests that can be in time.
    static constexpr std::uint32_t releasesPerLessUrgent = 10;

    // Requests that the upstream works on at the same time. With 0 no request is held.
    void setSlots(std::uint32_t slots) { m_slots = slots; }
    // Requests that the upstream gets at the same time, in place of slots + upstreamQueueLimit; 0:
    // not limited.
    void setLimit(std::uint32_t limit) { m_limit = limit; }
    // Under overload control a request is released only when the upstream can take it, and is
    // dropped when it expires. Late ones give way to those that can be in time.
    void setControlled(bool controlled) { m_controlled = controlled; }
    // Requests that the upstream gets at the same time; 0: no limit.
    std::uint32_t places() const
    {
        constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
        return m_slots == 0 || m_limit > 0 ? m_limit
                                           : m_slots + std::min(upstreamQueueLimit, most - m_slots);
    }
    // Number of held requests as urgent as priority or more that can safely meet their objective.
    std::size_t heldInTime(std::uint8_t priority, base::time_point now) const;
    // Drops requests that have expired and calls onDrop for each.
    void dropExpired(base::time_point now, const std::function<void(const flow_key &)> &onDrop);

    // Whether a new request must be held. running is the number of requests at the upstream.
    bool mustHold(std::uint32_t running) const
    {
        return m_slots > 0 && !hasRoom(running)
                && m_held.size() < (m_controlled ? maxHeldControlled : maxHeld);
    }
    bool holds(const flow_key &key) const { return m_held.contains(key); }
    // Holds a packet of a request. The first packet of a flow sets the constraints and the start of
    // the wait. Retransmissions and packets beyond maxPackets are dropped.
    void hold(const flow_key &key, const request_constraints &constraints, std::uint32_t sequence,
              base::byte_view packet, base::time_point now);
    // Drops the held packets of a flow.
    void discard(const flow_key &key) { m_held.erase(key); }

    struct release_info
    {
        std::uint8_t priority = 0;
        base::duration held {}; // since the first packet of the request
        bool late = false;      // its latest start has passed
    };
    using release_handler = std::function<void(const flow_key &, const release_info &,
                                               std::span<const base::byte_vector>)>;
    // Releases requests while the upstream can take them, and those whose time limit has passed.
    // running returns the present number of requests at the upstream, including released ones.
    void release(base::time_point now, const std::function<std::uint32_t()> &running,
                 const release_handler &onRelease);
    // Releases the request of the flow, if one is held.
    void releaseFlow(const flow_key &key, base::time_point now, const release_handler &onRelease);

    // Number of held requests.
    std::size_t held() const { return m_held.size(); }
    // Time of the next forced release; the maximum time when no request is held.
    base::time_point next() const;

private:
    struct held_request
    {
        request_constraints constraints;
        base::time_point since {};
        std::vector<std::uint32_t> sequences;
        std::vector<base::byte_vector> packets;
    };

    // Whether the upstream can take another request.
    bool hasRoom(std::uint32_t running) const { return running < places(); }

    static base::time_point releaseBy(const std::pair<const flow_key, held_request> &item)
    {
        return item.second.constraints.releaseBy;
    }

    // The time of the forced release, or of the drop under overload control.
    base::time_point dueAt(const std::pair<const flow_key, held_request> &item) const
    {
        return m_controlled ? item.second.constraints.expiresAt : releaseBy(item);
    }

    using held_map = boost::unordered_flat_map<flow_key, held_request, flow_key_hash>;

    // The request to release next. The queue must not be empty.
    held_map::iterator choose(base::time_point now);
    void releaseItem(held_map::iterator item, base::time_point now,
                     const release_handler &onRelease);

    held_map m_held;
    std::uint32_t m_slots = 0;
    std::uint32_t m_limit = 0;
    bool m_controlled = false;
    std::uint32_t m_passedOver = 0; // releases since the last one of a less urgent request
};

} // namespace oriolehold::flow
