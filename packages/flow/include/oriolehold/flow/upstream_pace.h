#pragma once

#include "oriolehold/flow/concurrency_limit.h"
#include "oriolehold/flow/load_meter.h"
#include "oriolehold/flow/peer_message.h"

#include <memory>
#include <optional>

// Tells the limit of an upstream when it starts, falls silent and answers, and applies the
// published limits of its warm-up.

namespace oriolehold::flow {

// A change of the number of requests that an upstream gets at the same time.
struct pace_change
{
    std::uint32_t limit = 0;   // requests; 0: not limited
    std::uint32_t running = 0; // requests at the upstream
    std::string_view reason {};

    bool operator==(const pace_change &) const = default;
};

class upstream_pace
{
public:
    // An upstream without an answer for this time, or eight times its mean service time if that is
    // longer, is silent. Packets of a working one arrive every few milliseconds under load.
    static constexpr base::duration silenceTime { 250'000 };

    // Does nothing without a limit. load counts the requests at the upstream and must outlive the
    // object; a start or recovery begins its averages anew.
    upstream_pace(std::unique_ptr<concurrency_limit> limit, load_meter &load);

    // Requests that the upstream works on at the same time; 0: unknown.
    void setSlots(std::uint32_t slots);
    // What an entry instance says about the upstream. The first notice after the start of the agent
    // is a start of the upstream only while its warm-up lasts.
    void noticed(const upstream_notice &notice, base::time_point now);
    // A request was passed to the upstream and is counted as running.
    void began(base::time_point now);
    // A packet arrived from the upstream.
    void heard(base::time_point now);
    // The upstream answered a request, or broke it off; it no longer counts as running.
    void answered(base::duration serviceTime, bool brokenOff, base::time_point now);
    // A request ended without an answer. age is the time since it was passed to the upstream.
    void abandoned(base::duration age, bool timedOut, base::time_point now);
    // Several opening packets were not answered in time.
    void openingsUnanswered(base::time_point now);
    // stalled: the process did not run for a while, so that answers may wait in its socket.
    void advance(bool stalled, base::time_point now);

    // Running requests up to which the upstream gets another one; 0: not limited.
    std::uint32_t limit() const;
    // For capacity_report::concurrency. It is not above the slots. While the warm-up lasts it is
    // never 0, so that entry instances need no assumption about a cold upstream.
    std::uint32_t concurrency() const;
    // The present state if limit() has changed since the last call.
    std::optional<pace_change> change();
    pace_change state() const;

private:
    void begin(base::time_point now);
    void forgetFormer(base::duration age, base::time_point now);
    // The limit, within what the published rate of the cold upstream admits.
    double cappedLimit() const;

    const std::unique_ptr<concurrency_limit> m_limit;
    load_meter &m_load;
    std::uint32_t m_slots = 0;
    std::uint64_t m_incarnation = 0; // 0: no notice so far
    base::time_point m_warmUpEndsAt {};
    bool m_warmingUp = false;
    double m_coldRate = 0.0;
    base::time_point m_heardAt {}; // or the first request after none was running
    bool m_silent = false;
    base::time_point m_begunAt {};     // start, or end of the silence
    std::uint32_t m_former = 0;        // running requests from before m_begunAt
    bool m_formerAreLost = false;      // they were at an instance that is gone
    std::uint32_t m_reportedLimit = 0; // by change()
};

} // namespace oriolehold::flow
