#include "oriolehold/random_run/upstream_model.h"

#include "oriolehold/coap/message.h"
#include "oriolehold/core/invariant.h"
#include "oriolehold/random_run/caller_model.h"

#include <algorithm>
#include <utility>

namespace oriolehold::random_run {

namespace {

using namespace std::chrono_literals;

constexpr core::duration feedInterval = 1s;
constexpr core::duration baseServiceTime = 20ms; // at strength 1
constexpr double stragglerShare = 0.01;          // of the jobs
constexpr int stragglerFactor = 100;             // of the service time

std::string queryValue(const core::upstream_request &request, std::string_view name)
{
    const std::string prefix = std::string(name) + '=';
    const auto found = std::ranges::find_if(
            request.queries, [&](const std::string &query) { return query.starts_with(prefix); });
    return found == request.queries.end() ? std::string() : found->substr(prefix.size());
}

} // namespace

upstream_model::upstream_model(virtual_time &time, core::random_source &random,
                               run_history &history, const core::upstream &description,
                               double shedProbability, upstream_callbacks callbacks)
    : m_time(time), m_random(random), m_history(history), m_description(description),
      m_shedProbability(shedProbability), m_callbacks(std::move(callbacks))
{
    publishFeeds();
}

void upstream_model::startJob(const core::upstream_request &request)
{
    if (m_random.uniform01() < m_shedProbability) {
        m_running.insert(request.job);
        m_time.after(100us, [this, job = request.job] {
            finish(job, { core::upstream_status::shed, 0, {} });
        });
        return;
    }
    run(request);
}

void upstream_model::run(const core::upstream_request &request)
{
    m_running.insert(request.job);
    ORIOLEHOLD_INVARIANT(m_running.size() <= m_description.slots,
                         "an agent dispatched more jobs than its upstream has slots");
    const std::string id = queryValue(request, "id");
    core::upstream_answer answer;
    answer.code = static_cast<std::uint8_t>(coap::message_code::content);
    if (!request.idempotent) {
        m_history.orderStarted(id, m_description.service);
        answer.payload.assign(id.begin(), id.end());
    } else {
        const std::string size = queryValue(request, "size");
        answer.payload = guide_caller::content(id, size.empty() ? 0 : std::stoul(size));
    }
    m_time.after(serviceTime(request), [this, job = request.job, answer] { finish(job, answer); });
}

void upstream_model::finish(core::job_id job, const core::upstream_answer &answer)
{
    if (m_alive && m_running.erase(job) > 0)
        m_callbacks.completeJob(job, answer);
}

void upstream_model::cancelJob(core::job_id job)
{
    // The upstream stops the job and reports it as failed.
    m_time.after(200us, [this, job] { finish(job, { core::upstream_status::failed, 0, {} }); });
}

core::duration upstream_model::serviceTime(const core::upstream_request & /*request*/)
{
    const int factor = m_random.uniform01() < stragglerShare ? stragglerFactor : 1;
    const double microseconds =
            static_cast<double>(baseServiceTime.count()) * factor / m_description.strength;
    return core::duration { static_cast<core::duration::rep>(microseconds) };
}

void upstream_model::startFeed(core::feed_id feed)
{
    m_feeds.insert(feed);
    m_time.after(500us, [this, feed] {
        if (m_alive && m_feeds.contains(feed))
            m_callbacks.updateFeed(feed, coap::asBytes("stock " + std::to_string(m_state)));
    });
}

void upstream_model::publishFeeds()
{
    m_time.after(feedInterval, [this] {
        if (!m_alive)
            return;
        const std::string text = "stock " + std::to_string(++m_state);
        const std::set<core::feed_id> feeds = m_feeds;
        std::ranges::for_each(feeds, [&](core::feed_id feed) {
            m_callbacks.updateFeed(feed, coap::asBytes(text));
        });
        publishFeeds();
    });
}

} // namespace oriolehold::random_run
