#include "oriolehold/agent/traffic_worker.h"

#include "oriolehold/core/slot_scheduler_factory.h"

#include <sodium.h>

#include <algorithm>

namespace oriolehold::agent {

namespace {

// Upper limit of a wait of the event loop, because libcoap sends its retransmissions from
// process().
constexpr core::duration maxLoopWait = std::chrono::milliseconds { 50 };

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof(seed));
    return seed;
}

// Tenths of a second since the Unix epoch modulo 2^32, never 0.
core::incarnation incarnationAt(core::time_point start)
{
    using deciseconds = std::chrono::duration<std::int64_t, std::deci>;
    const auto count = std::chrono::duration_cast<deciseconds>(start.time_since_epoch()).count();
    return core::incarnation { std::max<std::uint32_t>(static_cast<std::uint32_t>(count), 1) };
}

core::agent_core_options coreOptions(const runtime::agent_settings &settings,
                                     core::time_point start)
{
    core::agent_core_options options;
    options.upstream = settings.id;
    options.incarnation = incarnationAt(start);
    options.maxQueued = settings.maxQueued;
    options.maxLedger = settings.maxLedger;
    options.keepAlive = settings.keepAlive;
    options.drainLimit = settings.drainLimit;
    options.warmUp = settings.warmUp;
    return options;
}

} // namespace

traffic_worker::traffic_worker(const runtime::agent_settings &settings)
    : m_upstreamId(settings.id), m_scheduler(core::makeScheduler(settings.scheduler)),
      m_random(randomSeed()),
      m_core(coreOptions(settings, m_clock.now()), *this, *m_scheduler, m_random),
      m_envelopes(settings.envelopeAddress), m_upstream(settings.upstream, *this)
{
    m_loop.watch(m_envelopes.descriptor(), [this] { receiveEnvelopes(); });
    m_loop.watch(m_upstream.descriptor(), [this] { m_upstream.process(); });
}

traffic_worker::~traffic_worker() = default;

void traffic_worker::run()
{
    m_loop.run([this] { return onIdle(); });
}

void traffic_worker::configure(core::configuration_pointer configuration)
{
    m_loop.post([this, configuration = std::move(configuration)] {
        if (!m_core.configure(configuration, m_clock.now()))
            return;
        m_configuration = configuration;
        m_codec.emplace(configuration->content());
        m_generation = configuration->generation();
    });
}

void traffic_worker::drain()
{
    m_loop.post([this] { m_core.drain(m_clock.now()); });
}

core::agent_report traffic_worker::report() const
{
    const std::scoped_lock lock(m_mutex);
    return m_report;
}

std::string traffic_worker::histogramText() const
{
    return core::renderPrometheus(m_histograms.snapshot());
}

void traffic_worker::receiveEnvelopes()
{
    for (const net::datagram &envelope : m_envelopes.receive())
        handleEnvelope(envelope);
    m_envelopes.takeUnreachablePeers();
}

void traffic_worker::handleEnvelope(const net::datagram &envelope)
{
    const core::time_point now = m_clock.now();
    const auto message = m_codec ? m_codec->decode(envelope.bytes) : std::nullopt;
    if (!message) {
        ++m_badEnvelopes;
        return;
    }
    if (!std::holds_alternative<core::handover_message>(*message))
        m_core.observeEntry(envelope.peer, now);
    if (const auto *forwarded = std::get_if<wire::forward_message>(&*message))
        m_core.receive(envelope.peer, forwarded->caller, forwarded->service, forwarded->packet, now,
                       envelope.age + forwarded->age);
    else if (std::holds_alternative<wire::probe_message>(*message))
        m_envelopes.send(envelope.peer,
                         m_codec->encode(wire::probe_reply_message { m_core.report(now) }));
    else if (const auto *handover = std::get_if<core::handover_message>(&*message))
        m_core.receiveHandover(envelope.peer, *handover, now);
    else
        ++m_badEnvelopes;
}

core::duration traffic_worker::onIdle()
{
    m_upstream.process();
    const core::time_point now = m_clock.now();
    m_core.advance(now);
    m_drained = m_core.drained(now);
    publishReport();
    m_envelopes.flush();
    return std::clamp(m_core.nextTimer() - now, core::duration::zero(), maxLoopWait);
}

void traffic_worker::publishReport()
{
    const core::agent_report report = m_core.report(m_clock.now());
    const std::scoped_lock lock(m_mutex);
    m_report = report;
}

void traffic_worker::deliver(const core::endpoint &entry, const core::endpoint &caller,
                             core::service_id service, core::byte_view message)
{
    if (!m_codec)
        return;
    m_envelopes.send(entry,
                     m_codec->encode(wire::deliver_message { caller,
                                                             service,
                                                             m_core.report(m_clock.now()),
                                                             { message.begin(), message.end() } }));
}

void traffic_worker::startJob(const core::upstream_request &request)
{
    m_upstream.startJob(request, request.deadline - m_clock.now());
}

void traffic_worker::cancelJob(core::job_id job)
{
    m_upstream.cancelJob(job);
}

void traffic_worker::startFeed(core::feed_id feed, const core::feed_state &state)
{
    m_upstream.startFeed(feed, state);
}

void traffic_worker::stopFeed(core::feed_id feed)
{
    m_upstream.stopFeed(feed);
}

void traffic_worker::sendHandover(const core::endpoint &agent,
                                  const core::handover_message &message)
{
    if (m_codec)
        m_envelopes.send(agent, m_codec->encode(message));
}

void traffic_worker::recordResult(std::string_view className, core::result_code code,
                                  core::duration wait, core::duration service, core::duration total)
{
    const core::upstream *upstream = m_configuration->findUpstream(m_upstreamId);
    const core::service *owner =
            upstream == nullptr ? nullptr : m_configuration->findService(upstream->service);
    if (owner != nullptr)
        m_histograms.record({ owner->tenant, owner->name, className, code, wait, service, total });
}

void traffic_worker::jobCompleted(core::job_id job, const core::upstream_answer &answer)
{
    m_core.completeJob(job, answer, m_clock.now());
}

void traffic_worker::feedUpdated(core::feed_id feed, core::byte_view payload)
{
    m_core.updateFeed(feed, payload, m_clock.now());
}

void traffic_worker::feedEnded(core::feed_id feed)
{
    m_core.endFeed(feed, m_clock.now());
}

} // namespace oriolehold::agent
