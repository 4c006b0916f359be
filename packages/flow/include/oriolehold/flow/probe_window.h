#pragma once

#include "oriolehold/base/types.h"

// Limits the probes of all searches that wait for an answer, as the congestion window of a
// transport does. Answers the pattern "congestion collapse": after a restart of everything, each
// packet of each lost flow is probed at all upstreams. On an instance with a slow link the probes
// delay the answers, the clients and the searches repeat their packets, and no search ends.

namespace oriolehold::flow {

class probe_window
{
public:
    // One search may use the smallest window alone.
    static constexpr double minLimit = 12;
    static constexpr double initialLimit = 48;
    static constexpr double maxLimit = 1024;
    // Probes without an answer for this time count as lost. Agents answer within milliseconds.
    static constexpr std::chrono::milliseconds answerTimeout { 20 };

    // Probes that may be sent now.
    std::size_t room() const
    {
        const auto limit = static_cast<std::size_t>(m_limit);
        return m_outstanding < limit ? limit - m_outstanding : 0;
    }
    std::size_t outstanding() const { return m_outstanding; }

    void sent() { ++m_outstanding; }
    // A probe was answered in time.
    void answered();
    // A probe was not answered in time. isLoss is false when its receiver is probably gone, so that
    // the missing answer tells nothing of the load.
    void expired(bool isLoss, base::time_point now);
    // The answer to a probe does not matter any more.
    void withdrawn();

private:
    double m_limit = initialLimit;
    double m_slowStartEnd = maxLimit; // above it, the limit grows by one a round trip
    std::size_t m_outstanding = 0;
    // Since the last adjustment.
    std::size_t m_answers = 0;
    std::size_t m_losses = 0;
    base::time_point m_lastReductionAt {};
};

} // namespace oriolehold::flow
