#pragma once

#include "oriolehold/core/result_code.h"
#include "oriolehold/core/types.h"

#include <map>
#include <string>

// Reference model that compares the answers to callers with the orders that upstreams ran.

namespace oriolehold::random_run {

// Counts over one run.
struct run_totals
{
    std::uint64_t orders = 0;
    // Orders by outcome; notRun includes rejected ones.
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0; // orders without an answer after all repeats
    std::uint64_t guides = 0;     // completed downloads
    std::uint64_t failedGuides = 0;
    std::uint64_t feeds = 0; // callers that opened a feed
    std::uint64_t brokenFeeds =
            0; // ends of open feeds, and gaps between notifications that were too long
    std::uint64_t notifications = 0;
    // Orders with another outcome than done, by the result code number at the start of the
    // diagnostic payload.
    std::map<std::string, std::uint64_t> codes;

    bool operator==(const run_totals &) const = default;
};

// Records the events of a run and checks the invariants on orders, guides and services. Each event
// that breaks an invariant fails an ORIOLEHOLD_INVARIANT at once.
class run_history
{
public:
    void orderSent(const std::string &id, core::service_id service);
    // An upstream of the service started to run the order.
    void orderStarted(const std::string &id, core::service_id service);
    // The caller received its final answer. The payload of a done answer must equal the order's id;
    // any other answer carries a diagnostic payload.
    void orderAnswered(const std::string &id, core::outcome outcome, const std::string &payload);
    // The caller stopped waiting for an answer.
    void orderUnanswered(const std::string &id);

    // Checks that the request runs at an upstream of the service it was sent to.
    void requestReachedUpstream(const std::string &id, core::service_id intended,
                                core::service_id actual);
    // complete says whether the downloaded body equals the expected content.
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
