#pragma once

#include "oriolehold/coap/message.h"
#include "oriolehold/core/agent_core.h"
#include "oriolehold/core/diagnostic.h"
#include "oriolehold/core/flow_token.h"

#include <algorithm>
#include <deque>
#include <map>

// Fakes and packet helpers for the tests of the agent.

namespace oriolehold::core::testing {

using namespace std::chrono_literals;

inline constexpr endpoint entryA { 0x0a000001, 7001 };
inline constexpr endpoint entryB { 0x0a000002, 7001 };
inline constexpr endpoint agentOne { 0x0a000011, 7101 };
inline constexpr endpoint agentTwo { 0x0a000012, 7101 };
inline constexpr endpoint agentThree { 0x0a000013, 7101 };
inline constexpr endpoint callerEndpoint { 0xc0a80001, 40000 };
inline constexpr service_id ordersService { 1 };
inline constexpr upstream_id upstreamOne { 1 };
inline constexpr upstream_id upstreamTwo { 2 };
inline constexpr upstream_id upstreamThree { 3 };
inline constexpr incarnation firstIncarnation { 100 };
inline constexpr time_point startTime { 1'700'000'000s };

struct delivery
{
    endpoint entry;
    endpoint caller;
    byte_vector bytes;

    coap::message_view view() const { return *coap::message_view::parse(bytes); }
};

// Records the actions of the agent in order.
class recording_actions final : public agent_actions
{
public:
    void deliver(const endpoint &entry, const endpoint &caller, service_id,
                 byte_view message) override
    {
        deliveries.push_back({ entry, caller, { message.begin(), message.end() } });
    }
    void startJob(const upstream_request &request) override { jobs.push_back(request); }
    void cancelJob(job_id job) override { canceledJobs.push_back(job); }
    void startFeed(feed_id feed, const feed_state &state) override
    {
        startedFeeds.emplace_back(feed, state);
    }
    void stopFeed(feed_id feed) override { stoppedFeeds.push_back(feed); }
    void sendHandover(const endpoint &agent, const handover_message &message) override
    {
        handovers.emplace_back(agent, message);
    }
    void recordResult(std::string_view, result_code code, duration, duration, duration) override
    {
        results.push_back(code);
    }

    std::vector<delivery> deliveries;
    std::vector<upstream_request> jobs;
    std::vector<job_id> canceledJobs;
    std::vector<std::pair<feed_id, feed_state>> startedFeeds;
    std::vector<feed_id> stoppedFeeds;
    std::deque<std::pair<endpoint, handover_message>> handovers;
    std::vector<result_code> results;
};

// First in, first out, with a settable expected wait. Records the arguments of its calls.
class fake_scheduler final : public slot_scheduler
{
public:
    std::string_view name() const override { return "fifo"; }
    void enqueue(const waiting_job &job) override
    {
        m_queue.push_back(job);
        expectedServiceTimes.push_back(job.expectedService);
    }
    bool remove(job_id id) override
    {
        return std::erase_if(m_queue, [id](const waiting_job &job) { return job.id == id; }) > 0;
    }
    std::optional<job_id> dequeue(std::span<const duration>, std::size_t, time_point) override
    {
        if (m_queue.empty())
            return std::nullopt;
        const job_id id = m_queue.front().id;
        m_queue.pop_front();
        return id;
    }
    duration expectedWait(std::uint8_t, duration, std::span<const duration> running, std::size_t,
                          time_point) const override
    {
        lastRunning.assign(running.begin(), running.end());
        return expectedWaitResult;
    }
    std::size_t size() const override { return m_queue.size(); }

    duration expectedWaitResult {};
    std::vector<duration> expectedServiceTimes; // of all enqueued jobs
    mutable std::vector<duration> lastRunning;  // of the last expectedWait() call

private:
    std::deque<waiting_job> m_queue;
};

inline request_class makeClass(std::string name, class_kind kind, request_method method,
                               bool idempotent)
{
    request_class result;
    result.path = name;
    result.name = std::move(name);
    result.kind = kind;
    result.method = method;
    result.idempotent = idempotent;
    result.deadline = 2000ms;
    return result;
}

// One service with three upstreams behind three agents, and two entries.
inline configuration_content makeContent()
{
    configuration_content content;
    content.generation = 1;
    content.keys = { { 1, { 1, 2, 3 } } };
    content.signingKey = 1;
    content.services.resize(1);
    content.services[0].id = ordersService;
    content.services[0].name = "orders";
    content.services[0].classes = {
        makeClass("orders", class_kind::request, request_method::post, false),
        makeClass("guides", class_kind::request, request_method::get, true),
        makeClass("reports", class_kind::download, request_method::get, true),
        makeClass("stock", class_kind::feed, request_method::get, true),
    };
    const std::array agents { agentOne, agentTwo, agentThree };
    for (std::size_t i = 0; i < agents.size(); ++i) {
        upstream item;
        item.id = static_cast<upstream_id>(i + 1);
        item.service = ordersService;
        item.index = static_cast<std::uint8_t>(i + 1);
        item.agent = agents[i];
        item.slots = 1;
        item.connections = 10;
        content.upstreams.push_back(item);
    }
    content.entries = { { entry_id { 1 }, "a", entryA }, { entry_id { 2 }, "a", entryB } };
    return content;
}

// The same service with the first upstream as the only live one.
inline configuration_content makeSingleContent()
{
    configuration_content content = makeContent();
    for (upstream &item : content.upstreams)
        item.state = item.id == upstreamOne ? upstream_state::live : upstream_state::leaving;
    return content;
}

inline configuration_pointer publish(configuration_content content)
{
    return std::make_shared<const configuration>(std::move(content));
}

// A request of a caller, built field by field.
struct packet
{
    coap::message_type type = coap::message_type::confirmable;
    coap::message_code code = coap::message_code::get;
    std::uint16_t messageId = 1;
    byte_vector token { 7 };
    std::optional<std::uint32_t> observe;
    std::string path;
    std::string query;
    std::optional<coap::block_option> block2;
    byte_vector echo;
    std::string payload;

    byte_vector bytes() const
    {
        coap::message_builder builder(type, code, messageId, token);
        if (observe)
            builder.uintOption(coap::option_number::observe, *observe);
        if (!path.empty())
            builder.option(coap::option_number::uriPath, path);
        if (!query.empty())
            builder.option(coap::option_number::uriQuery, query);
        if (block2)
            builder.block2(*block2);
        if (!echo.empty())
            builder.option(coap::option_number::echo, byte_view(echo));
        return builder.payload(payload).toVector();
    }
};

// An agent with its fakes and a clock that the test advances.
struct agent_under_test
{
    explicit agent_under_test(upstream_id id = upstreamOne, agent_core_options base = {},
                              configuration_content content = makeContent())
        : random(toInteger(id))
    {
        options = base;
        options.upstream = id;
        options.incarnation = firstIncarnation;
        restart(std::move(content));
    }

    void restart(configuration_content content)
    {
        core = std::make_unique<agent_core>(options, actions, scheduler, random);
        codec = std::make_unique<flow_token_codec>(content);
        core->configure(publish(std::move(content)), now);
    }

    byte_vector token(ticket_number ticket, incarnation bound = firstIncarnation,
                      std::uint32_t age = 0, std::uint8_t hops = 0) const
    {
        flow_token value;
        value.service = ordersService;
        value.upstream = options.upstream;
        value.agent = agentOne;
        value.incarnation = bound;
        value.issuedAt = unixSeconds(now) - age;
        value.ticket = ticket;
        value.hops = hops;
        return seal(value);
    }
    byte_vector seal(const flow_token &value) const
    {
        const flow_token_bytes bytes = codec->seal(value, callerEndpoint.address);
        return { bytes.begin(), bytes.end() };
    }

    void receive(const packet &value, const endpoint &entry = entryA)
    {
        core->receive(entry, callerEndpoint, ordersService, value.bytes(), now);
    }
    void receiveEmpty(coap::message_type type, std::uint16_t messageId)
    {
        const coap::message_builder builder(type, coap::message_code::empty, messageId);
        core->receive(entryA, callerEndpoint, ordersService, builder.bytes(), now);
    }

    // Advances the clock and runs each timer at its time.
    void runFor(duration time)
    {
        const time_point end = now + time;
        while (core->nextTimer() <= end) {
            now = std::max(now, core->nextTimer());
            core->advance(now);
        }
        now = end;
        core->advance(now);
    }
    // Advances the clock and then runs the timers, as after a pause of the process.
    void pauseFor(duration time)
    {
        now += time;
        core->advance(now);
    }

    void complete(std::size_t index, std::string_view payload,
                  upstream_status status = upstream_status::answered)
    {
        const byte_view bytes = coap::asBytes(payload);
        core->completeJob(actions.jobs.at(index).job,
                          { status,
                            static_cast<std::uint8_t>(coap::message_code::content),
                            { bytes.begin(), bytes.end() } },
                          now);
    }

    coap::message_view last() const { return actions.deliveries.back().view(); }
    std::string lastPayload() const { return std::string(coap::asText(last().payload())); }
    std::optional<result_code> lastCode() const
    {
        return actions.deliveries.empty() ? std::nullopt : parseDiagnostic(last().payload());
    }
    flow_token lastEcho() const
    {
        const auto echo = last().option(coap::option_number::echo);
        return echo ? codec->open(*echo, callerEndpoint.address, now).token : flow_token {};
    }

    agent_core_options options;
    recording_actions actions;
    fake_scheduler scheduler;
    seeded_random random;
    time_point now = startTime;
    std::unique_ptr<flow_token_codec> codec;
    std::unique_ptr<agent_core> core;
};

inline packet order(byte_vector echo, std::uint16_t messageId = 1, std::string payload = "two kits")
{
    packet value;
    value.code = coap::message_code::post;
    value.messageId = messageId;
    value.path = "orders";
    value.echo = std::move(echo);
    value.payload = std::move(payload);
    return value;
}

inline packet get(std::string path, byte_vector echo, std::uint16_t messageId = 1)
{
    packet value;
    value.messageId = messageId;
    value.path = std::move(path);
    value.echo = std::move(echo);
    return value;
}

} // namespace oriolehold::core::testing
