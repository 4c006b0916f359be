#pragma once

#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/upstream_directory.h"

#include <span>
#include <string>
#include <vector>

// Decides by the agents' reports which upstreams can serve an opening packet in time.

namespace oriolehold::flow {

// Forecasts the wait at each upstream: the reported wait, less the time since the report, plus the
// requests of the flows that were placed there since. All entry instances place flows by the same
// report and do not know how many they are, so each flow of this instance stands for several ones
// (its spread). The spread grows when an agent refuses a packet that was forecast to be in time or
// reports a long wait, and falls when agents report short ones.
class overload_refusal
{
public:
    // An older report says nothing of the present wait: the next one is overdue.
    static constexpr std::chrono::milliseconds reportLifetime { 300 };

    struct choice
    {
        std::vector<known_upstream *> upstreams; // that may get the packet
        bool refuses = false;                    // none can serve it in time
        base::duration expectedWait {};          // the shortest reported one, if refuses is set
    };

    // random must outlive the object.
    explicit overload_refusal(base::random_source &random) : m_random(random) { }

    // Returns the candidates that can serve the packet in time or report no wait. If there are
    // none, refuses is set, unless an agent has just started, and all candidates are returned.
    choice choose(std::span<known_upstream *const> candidates, const packet_tag &tag,
                  base::time_point now);
    // The agent of the upstream refused a packet.
    void refused(const known_upstream &upstream, base::time_point now);
    // Flows that one flow of this instance stands for.
    double spread(std::string_view service) const;

private:
    // Begins a forecast with a new report and adjusts the spread to it.
    void update(known_upstream &upstream, const packet_tag &tag, base::time_point now);
    bool isInTime(known_upstream &upstream, const packet_tag &tag, base::time_point now);
    void multiply(const std::string &service, double factor);

    base::random_source &m_random;
    boost::unordered_flat_map<std::string, double> m_spreads; // by service; others have 1
};

} // namespace oriolehold::flow
