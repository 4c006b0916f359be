#pragma once

#include "oriolehold/flow/packet.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>
#include <vector>

// Holds requests back while the upstream is busy, so that its queue stays short and the order under
// overload is ours: requests that can still meet their latency objective first, of these the urgent
// ones, of these the newest.

namespace oriolehold::flow {

// What is known of a request when it comes.
struct request_constraints
{
    std::uint8_t priority = 0;   // 0 is the most urgent
    base::time_point startBy {}; // begun later, it misses its latency objective
    // It is let through then in any case, so that the upstream itself serves or refuses it well
    // before its client gives up.
    base::time_point releaseBy {};
};

class hold_queue
{
public:
    // Requests that may wait at the upstream beside those that it works on. They keep its slots
    // busy while an answer is on its way.
    static constexpr std::uint32_t upstreamQueueLimit = 1;
    // Packets of one request that are kept; clients have at most 16 in flight.
    static constexpr std::size_t maxPackets = 16;
    // Requests that are held at the same time; later ones pass.
    static constexpr std::size_t maxHeld = 512;

    // 0: the gate is open.
    void setSlots(std::uint32_t slots) { m_slots = slots; }

    // Whether a new request must wait.
    bool mustHold(std::uint32_t running) const
    {
        return m_slots > 0 && running >= m_slots + upstreamQueueLimit && m_held.size() < maxHeld;
    }
    bool holds(const flow_key &key) const { return m_held.contains(key); }
    // Keeps a packet of a request. The first packet of a flow starts the wait; retransmissions are
    // dropped.
    void hold(const flow_key &key, const request_constraints &constraints, std::uint32_t sequence,
              base::byte_view packet, base::time_point now);
    void discard(const flow_key &key) { m_held.erase(key); }

    struct release_info
    {
        std::uint8_t priority = 0;
        base::duration held {};
    };
    using release_handler = std::function<void(const flow_key &, const release_info &,
                                               std::span<const base::byte_vector>)>;
    // Lets requests through while the upstream can take them, and those that waited too long.
    // running tells the present number and counts those that were let through.
    void release(base::time_point now, const std::function<std::uint32_t()> &running,
                 const release_handler &onRelease);

    std::size_t held() const { return m_held.size(); }
    // Time of the next forced release; the maximum when none is held.
    base::time_point next() const;

private:
    struct held_request
    {
        request_constraints constraints;
        base::time_point since {};
        std::vector<std::uint32_t> sequences;
        std::vector<base::byte_vector> packets;
    };

    static base::time_point releaseBy(const std::pair<const flow_key, held_request> &item)
    {
        return item.second.constraints.releaseBy;
    }

    boost::unordered_flat_map<flow_key, held_request, flow_key_hash> m_held;
    std::uint32_t m_slots = 0;
};

} // namespace oriolehold::flow
