#pragma once

#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/peer_message.h"

#include <deque>
#include <optional>

// Limits the opening packets that an agent passes to its upstream while the upstream warms up.

namespace oriolehold::flow {

// Bounds of the deployment: in any second a cold upstream gets at most its published rate times
// overage, plus slack, opening packets.
struct opening_bounds
{
    double overage = 1;
    std::uint32_t slack = 0;

    bool operator==(const opening_bounds &) const = default;
};

// Counts the opening packets that were passed on and decides whether another one may pass. On
// average the published rate passes; bursts are bounded by the rate times overage. The slack
// is what a restarted agent passes before it knows the rate and what its predecessor passed.
class opening_limiter
{
public:
    // One second, in which the number of packets is bounded, and the largest difference between the
    // delays of two packets on their way to the upstream.
    static constexpr std::chrono::milliseconds window { 1050 };
    // After signs of a restart of the upstream it counts as cold for this time: it registers within
    // about two seconds, and the list and the notice take up to 1.5 s more.
    static constexpr std::chrono::seconds restartNoticeTime { 5 };

    // Without bounds nothing is limited.
    explicit opening_limiter(const std::optional<opening_bounds> &bounds) : m_bounds(bounds) { }

    // Sets what the notices say: the published rate, 0 for no limit, and the end of the warm-up.
    void update(double coldRate, base::time_point coldUntil, base::time_point now);
    // The upstream does not answer or has lost its flows, so it may have restarted after the given
    // time.
    void suspectRestart(base::time_point since, base::time_point now);
    // The upstream has answered a packet of a flow that it accepted at the given time, so it has
    // not restarted since then.
    void confirmRunning(base::time_point since);

    // Whether the number of opening packets is limited now.
    bool isLimited(base::time_point now) const;
    // Whether one more may pass now. Begins the time of the agent with the first call.
    bool mayPass(base::time_point now);
    // Counts an opening packet that is passed on now, also if the limit does not apply to it.
    void pass(base::time_point now);
    // The packets that were counted so far have left the process by now. The process may have been
    // stopped after they were counted.
    void flushed(base::time_point now);
    // Number of opening packets that may pass from now until the time is over;
    // capacity_report::unlimited if there is no limit.
    std::uint16_t room(base::duration time, base::time_point now);
    // Time of the next packet that may pass, if none passes before.
    base::time_point next(base::time_point now);

private:
    // Largest number of packets in a window.
    std::size_t capacity(base::time_point now) const;
    // Packets that may pass by the mean rate, including the part of the next one.
    double tokensAt(base::time_point now) const;
    double maxTokens() const;
    bool hasRate() const { return m_coldRate && *m_coldRate > 0; }
    // Whether all packets of the last window are counted; some may be of a former agent.
    bool hasHistory(base::time_point now) const;
    void advance(base::time_point now);

    std::optional<opening_bounds> m_bounds;
    std::optional<double> m_coldRate; // published, per second; empty: unknown; 0: no limit
    base::time_point m_coldUntil {};
    base::time_point m_suspectedUntil {};
    base::time_point m_suspectedSince {}; // earliest time of the suspected restart
    base::time_point m_startedAt {};      // epoch: not yet
    // When the packets of the last window left, oldest first. The last m_unflushed of them may not
    // have left.
    std::deque<base::time_point> m_passed;
    std::size_t m_unflushed = 0;
    double m_tokens = 0; // at the time m_tokensAt
    base::time_point m_tokensAt {};
};

} // namespace oriolehold::flow
