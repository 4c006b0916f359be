#include "oriolehold/runtime/configuration_watch.h"

#include "oriolehold/runtime/http_client.h"
#include "oriolehold/runtime/log_events.h"

#include <algorithm>
#include <utility>

namespace oriolehold::runtime {

namespace {

// Interval at which a sleeping thread checks the stop flag.
constexpr std::chrono::milliseconds stopInterval { 100 };
constexpr const char *documentPath = "/v1/configuration";
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotModified = 304;

// Monotonic time. The schedule uses only differences, so the origin is irrelevant.
core::time_point monotonicNow()
{
    return core::time_point { std::chrono::duration_cast<core::duration>(
            std::chrono::steady_clock::now().time_since_epoch()) };
}

} // namespace

configuration_watch::configuration_watch(core::endpoint platform, std::vector<core::endpoint> peers,
                                         std::uint64_t seed, apply_function apply)
    : m_platform(platform), m_peers(std::move(peers)), m_seed(seed), m_apply(std::move(apply))
{ }

configuration_watch::~configuration_watch()
{
    stop();
}

void configuration_watch::start()
{
    if (m_thread.joinable())
        return;
    m_stopped.store(false);
    m_thread = std::thread([this] { run(); });
}

void configuration_watch::stop()
{
    m_stopped.store(true);
    if (m_thread.joinable())
        m_thread.join();
}

core::generation_number configuration_watch::generation() const
{
    const std::lock_guard lock(m_mutex);
    return m_acceptor.generation();
}

std::string configuration_watch::document() const
{
    const std::lock_guard lock(m_mutex);
    return m_acceptor.document();
}

void configuration_watch::run()
{
    watch_schedule schedule(m_peers.size(), m_seed, monotonicNow());
    while (!m_stopped.load()) {
        const planned_read planned = schedule.next();
        sleepUntil(planned.at);
        if (m_stopped.load())
            return;
        const core::time_point began = monotonicNow();
        const read_outcome outcome = read(planned);
        if (m_stopped.load())
            return;
        if (outcome == read_outcome::changed) {
            const core::configuration_content &content = m_acceptor.current()->content();
            schedule.setReaderCount(content.entries.size() + content.upstreams.size());
        }
        schedule.record(planned, outcome, began, monotonicNow());
        reportReachability(planned, outcome);
    }
}

read_outcome configuration_watch::read(const planned_read &planned)
{
    m_readCount.fetch_add(1);
    const bool fromPeer = planned.source == read_source::peer;
    const core::endpoint server = fromPeer ? m_peers[planned.peer] : m_platform;
    const std::string query = fromPeer ? std::string()
                                       : "after=" + std::to_string(m_acceptor.generation())
                    + "&wait=" + std::to_string(planned.wait.count());
    const auto response =
            httpGet(server, documentPath, query, maxDocumentSize, planned.timeout, m_stopped);
    if (response && response->status == statusNotModified)
        return read_outcome::unchanged;
    if (!response || response->status != statusOk)
        return read_outcome::failed;
    return accept(response->body, planned);
}

read_outcome configuration_watch::accept(const std::string &text, const planned_read &planned)
{
    const bool fromPeer = planned.source == read_source::peer;
    offer_result result = offer_result::invalid;
    {
        const std::lock_guard lock(m_mutex);
        result = m_acceptor.offer(text);
    }
    const std::string source = fromPeer ? core::toString(m_peers[planned.peer]) : "platform";
    switch (result) {
    case offer_result::accepted:
        if (fromPeer)
            log(log_event::peerDocument,
                { { "peer", source }, { "generation", m_acceptor.generation() } });
        m_apply(m_acceptor.current());
        log(log_event::configurationInEffect,
            { { "generation", m_acceptor.generation() }, { "source", source } });
        return read_outcome::changed;
    case offer_result::unchanged:
        return read_outcome::unchanged;
    case offer_result::older:
        if (fromPeer) // it may lag behind
            return read_outcome::unchanged;
        log(log_event::configurationOlder,
            { { "generation", m_acceptor.generation() },
              { "offered", m_acceptor.offeredGeneration() } });
        m_rejectedCount.fetch_add(1);
        return read_outcome::outdated;
    case offer_result::conflicting:
        log(log_event::configurationConflict,
            { { "generation", m_acceptor.generation() }, { "source", source } });
        break;
    case offer_result::invalid:
        log(log_event::configurationRejected,
            { { "path", m_acceptor.error().path },
              { "expected", m_acceptor.error().expected },
              { "source", source } });
        break;
    }
    m_rejectedCount.fetch_add(1);
    return read_outcome::failed;
}

void configuration_watch::reportReachability(const planned_read &planned, read_outcome outcome)
{
    if (planned.source == read_source::peer)
        return;
    const bool reachable = outcome != read_outcome::failed;
    if (m_reachable.exchange(reachable) != reachable)
        log(reachable ? log_event::platformReachable : log_event::platformUnreachable,
            { { "platform", core::toString(m_platform) } });
}

void configuration_watch::sleepUntil(core::time_point time)
{
    for (core::time_point now = monotonicNow(); now < time && !m_stopped.load();
         now = monotonicNow())
        std::this_thread::sleep_for(std::min<core::duration>(time - now, stopInterval));
}

} // namespace oriolehold::runtime
