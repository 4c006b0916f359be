#pragma once

#include "oriolehold/flow/peer_message.h"

namespace oriolehold::flow {

// Keeps for an agent what the notices of all entry instances say of its upstream and its zone.
class notice_record
{
public:
    // Entry instances repeat the notice of an evacuated zone with each hello. Without one for this
    // time, none of them knows of the evacuation any more.
    static constexpr std::chrono::seconds evacuationTimeout { 3 };
    // After the end of an evacuation the upstream counts as cold until it has published its state
    // again (each 1.2 s) and an entry instance has read it.
    static constexpr std::chrono::milliseconds returnTime { 2500 };

    void receive(const upstream_notice &notice, base::time_point now);

    // Whether a notice has arrived since the start of the process.
    bool known() const { return m_known; }
    bool evacuated(base::time_point now) const;
    // Of the latest start of the upstream that is known; 0: unknown.
    std::uint64_t incarnation() const { return m_incarnation; }
    // When the warm-up of the upstream ends; in the past when it is warm.
    base::time_point warmUpEndsAt() const { return m_warmUpEndsAt; }
    // Requests a second that the upstream bears in its warm-up; 0: no limit.
    double coldRate() const { return m_coldRate; }

private:
    bool m_known = false;
    std::uint64_t m_incarnation = 0;
    base::time_point m_warmUpEndsAt {};
    double m_coldRate = 0;
    store_revision m_evacuationRevision;
    bool m_evacuated = false;
    base::time_point m_evacuationHeardAt {};
};

} // namespace oriolehold::flow
