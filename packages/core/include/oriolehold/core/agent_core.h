#pragma once

#include "oriolehold/core/admission_policy.h"
#include "oriolehold/core/agent_report.h"
#include "oriolehold/core/configuration.h"
#include "oriolehold/core/result_code.h"
#include "oriolehold/core/slot_scheduler.h"

#include <memory>

// Core of the agent, the process that runs beside one upstream. It owns all state of the flows that
// the upstream serves. It uses no sockets and no clock: events come in through the methods of
// agent_core, actions go out through agent_actions.
//
// Not thread-safe; a single traffic thread calls it.

namespace oriolehold::core {

enum class feed_id : std::uint64_t {};

// A request to run on the upstream.
struct upstream_request
{
    job_id job {};
    request_method method = request_method::get;
    std::string path;                 // without a leading '/'
    std::vector<std::string> queries; // "name=value", without the deadline
    byte_vector payload;
    bool idempotent = true; // false: sent at most once, as a non-confirmable message
    time_point deadline;
    ticket_number ticket = 0; // 0 for idempotent requests
};

enum class upstream_status : std::uint8_t {
    answered, // code and payload are the whole answer
    shed,     // the upstream reported that it did not run the request
    failed,   // the connection failed; the request may have run
    timedOut, // no answer within the deadline; the request may still run
};

struct upstream_answer
{
    upstream_status status = upstream_status::answered;
    std::uint8_t code = 0; // CoAP code
    byte_vector payload;
};

// State that another agent needs to continue a feed.
struct feed_state
{
    endpoint caller;
    service_id service {};
    byte_vector token; // CoAP token of the registration
    std::string path;
    std::vector<std::string> queries;
    std::uint32_t sequence = 0; // Observe number of the last notification, 24 bits

    bool operator==(const feed_state &) const = default;
};

enum class handover_step : std::uint8_t { offer, accept, refuse, commit, done };

struct handover_message
{
    handover_step step = handover_step::offer;
    std::uint64_t id = 0; // assigned by the old owner, unique within its incarnation
    core::incarnation from = core::incarnation::unknown; // incarnation of the old owner
    feed_state feed;                                     // with offer and commit

    bool operator==(const handover_message &) const = default;
};

// Actions that the core requests from its host. The methods must not call back into the core.
class agent_actions
{
public:
    virtual ~agent_actions() = default;
    // Sends CoAP bytes to a caller through an entry instance.
    virtual void deliver(const endpoint &entry, const endpoint &caller, service_id service,
                         byte_view message) = 0;
    virtual void startJob(const upstream_request &request) = 0;
    // Requests the cancellation of a running job; an answer may still arrive.
    virtual void cancelJob(job_id job) = 0;
    virtual void startFeed(feed_id feed, const feed_state &state) = 0;
    virtual void stopFeed(feed_id feed) = 0;
    virtual void sendHandover(const endpoint &agent, const handover_message &message) = 0;
    // Reports the final result of a request, for histograms. className is valid during the call
    // only.
    virtual void recordResult(std::string_view className, result_code code, duration wait,
                              duration service, duration total) = 0;
};

struct agent_core_options
{
    upstream_id upstream {};
    core::incarnation incarnation = core::incarnation::unknown;
    std::size_t maxQueued = 256;     // jobs
    std::size_t maxLedger = 100'000; // tickets
    // Time without an envelope of an entry after which another entry delivers in its place.
    duration entryTimeout = std::chrono::seconds { 1 };
    duration keepAlive = std::chrono::seconds { 5 }; // longest gap between notifications (Max-Age)
    duration drainLimit = std::chrono::seconds { 30 }; // longest duration of a drain
    // Time in state warming, from the first configuration.
    duration warmUp = std::chrono::seconds { 10 };
};

class agent_core
{
public:
    // The references must outlive the core. Without an admission policy,
    // deadline_admission_policy is used with maxQueued.
    agent_core(agent_core_options options, agent_actions &actions, slot_scheduler &scheduler,
               random_source &random, const admission_policy *admission = nullptr);
    ~agent_core();

    // Puts a configuration into effect; one with a lower or equal generation is ignored.
    bool configure(configuration_pointer configuration, time_point now);

    // Records that an entry is reachable. Called for every envelope of it, for example a probe.
    void observeEntry(const endpoint &entry, time_point now);
    // Handles a caller's packet, forwarded by an entry. age is the time that the packet waited in
    // buffers on the way; it counts against the deadline, so that a process that was paused does
    // not run expired work.
    void receive(const endpoint &entry, const endpoint &caller, service_id service,
                 byte_view packet, time_point now, duration age = {});
    // Handles the upstream's answer to a job. Unknown or finished jobs are ignored.
    void completeJob(job_id job, const upstream_answer &answer, time_point now);
    // Handles a new state of a feed's resource.
    void updateFeed(feed_id feed, byte_view payload, time_point now);
    // Handles the end of a feed by the upstream.
    void endFeed(feed_id feed, time_point now);
    void receiveHandover(const endpoint &from, const handover_message &message, time_point now);

    // Stops accepting new flows, finishes work and hands feeds over.
    void drain(time_point now);
    // True when no request, download or feed is left, or the drain limit has passed.
    bool drained(time_point now) const;

    // Time of the next call of advance(), which runs timers: deadlines, retransmissions,
    // keep-alives.
    time_point nextTimer() const;
    void advance(time_point now);

    agent_report report(time_point now) const;
    // Number of dropped packets with this code.
    std::uint64_t dropped(result_code code) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace oriolehold::core
