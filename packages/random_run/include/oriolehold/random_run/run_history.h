#pragma once

#include "oriolehold/core/result_code.h"
#include "oriolehold/core/types.h"

#include <map>
#include <string>

// Reference model: what callers were told against what upstreams ran.

namespace oriolehold::random_run {

struct run_totals
{
    std::uint64_t orders = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t guides = 0;
    std::uint64_t failedGuides = 0;
    std::uint64_t feeds = 0;
    std::uint64_t brokenFeeds = 0;
    std::uint64_t notifications = 0;
    // Results of orders that were not done, by the number at the start of the diagnostic payload.
    std::map<std::string, std::uint64_t> codes;

    bool operator==(const run_totals &) const = default;
};

// Checks each promise at the first event that breaks it, through ORIOLEHOLD_INVARIANT.
class run_history
{
public:
    void orderSent(const std::string &id, core::service_id service);
    // The upstream of the service started to run the order.
    void orderStarted(const std::string &id, core::service_id service);
    // The caller got its final answer; the payload of a done answer must be the order's own id.
    void orderAnswered(const std::string &id, core::outcome outcome, const std::string &payload);
    void orderUnanswered(const std::string &id);

    void requestReachedUpstream(const std::string &id, core::service_id intended,
                                core::service_id actual);
    void guideFinished(bool complete);
    void guideFailed() { ++m_totals.failedGuides; }
    void feedOpened() { ++m_totals.feeds; }
    void feedBroken() { ++m_totals.brokenFeeds; }
    void notified() { ++m_totals.notifications; }

    const run_totals &totals() const { return m_totals; }

private:
    struct order_record
    {
        core::service_id service {};
        int startCount = 0;
        bool answeredNotRun = false;
    };

    std::map<std::string, order_record> m_orders;
    run_totals m_totals;
};

} // namespace oriolehold::random_run
