#pragma once

#include "oriolehold/core/agent_core.h"
#include "oriolehold/random_run/run_history.h"
#include "oriolehold/random_run/virtual_network.h"

#include <functional>
#include <map>
#include <set>

// Models the upstream that an agent dispatches to: slots, service times, shedding and feeds.

namespace oriolehold::random_run {

// Functions that the model calls with its results.
struct upstream_callbacks
{
    std::function<void(core::job_id, const core::upstream_answer &)> completeJob;
    std::function<void(core::feed_id, core::byte_view)> updateFeed;
};

class upstream_model
{
public:
    // shedProbability applies to each job.
    upstream_model(virtual_time &time, core::random_source &random, run_history &history,
                   const core::upstream &description, double shedProbability,
                   upstream_callbacks callbacks);

    void startJob(const core::upstream_request &request);
    void cancelJob(core::job_id job);
    void startFeed(core::feed_id feed);
    void stopFeed(core::feed_id feed) { m_feeds.erase(feed); }
    // Stops the model; no callback runs afterwards.
    void kill() { m_alive = false; }

private:
    void run(const core::upstream_request &request);
    void finish(core::job_id job, const core::upstream_answer &answer);
    core::duration serviceTime(const core::upstream_request &request);
    void publishFeeds();

    virtual_time &m_time;
    core::random_source &m_random;
    run_history &m_history;
    core::upstream m_description;
    double m_shedProbability;
    upstream_callbacks m_callbacks;
    std::set<core::job_id> m_running;
    std::set<core::feed_id> m_feeds;
    std::uint64_t m_state = 0; // number that each feed notification carries
    bool m_alive = true;
};

} // namespace oriolehold::random_run
