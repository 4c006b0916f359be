#pragma once

#include "oriolehold/flow/packet.h"

#include <boost/unordered/unordered_flat_map.hpp>

// Decides under overload which opening packets an agent accepts: those whose first request can
// still be answered within the latency objective of its route.

namespace oriolehold::flow {

// Requests that an opening packet's request would wait for.
struct admission_load
{
    std::uint32_t places = 0;  // requests that the upstream gets at the same time; 0: no limit
    std::uint32_t running = 0; // at the upstream
    std::uint32_t held = 0;    // as urgent or more, and not late
    base::duration meanServiceTime {}; // from delivery to answer; 0: unknown
};

class admission_control
{
public:
    // A held request counts as late when less than this multiple of the mean service time is left:
    // with exponential times, one in twenty takes longer.
    static constexpr int serviceFactor = 3;
    // The same for an opening packet. One more, because the wait of its request varies.
    static constexpr int admissionFactor = 4;
    // The same for the most urgent priority. With 4, one in twenty of these was refused at 0.7 of
    // the capacity, in short peaks that pass before the objective does.
    static constexpr int urgentFactor = 2;
    // The first request follows the answer to an opening packet by a round trip. A client that
    // sends none for this time has opened the flow ahead of its requests.
    static constexpr std::chrono::milliseconds requestTime { 200 };

    // Whether an opening packet can be accepted. elapsed is the time since its first copy. One that
    // is accepted counts until forget() or the end of requestTime.
    bool admit(const flow_key &key, const packet_tag &tag, base::duration elapsed,
               const admission_load &load, base::time_point now);
    // Time until the request of an opening packet that arrives now begins.
    base::duration waitOf(std::uint8_t priority, const admission_load &load, base::time_point now);
    // Longest time from the first copy of an opening packet to the begin of its request with which
    // the request is answered within the objective with enough certainty. An objective of 0 means
    // "unknown".
    static base::duration longestBegin(const packet_tag &tag, base::duration meanServiceTime);
    // The first request of the flow has arrived, or the flow is gone.
    void forget(const flow_key &key) { m_expected.erase(key); }

    // Time until a request begins that arrives after `ahead` others.
    static base::duration expectedWait(std::uint64_t ahead, std::uint32_t places,
                                       base::duration meanServiceTime);

private:
    struct expected_request
    {
        std::uint8_t priority = 0;
        base::time_point until {};
    };

    // Requests of accepted opening packets that are to come, as urgent as priority or more.
    std::uint32_t expected(std::uint8_t priority, base::time_point now);

    boost::unordered_flat_map<flow_key, expected_request, flow_key_hash> m_expected;
};

} // namespace oriolehold::flow
