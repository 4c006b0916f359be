#pragma once

#include "oriolehold/coap/message.h"
#include "oriolehold/core/diagnostic.h"
#include "oriolehold/core/entry_router.h"
#include "oriolehold/core/weighted_random_policy.h"

#include <algorithm>
#include <set>

// Test fixture: a router with two services, and the packets of callers and reports of agents.

namespace oriolehold::core::testing {

using namespace std::chrono_literals;

inline constexpr service_id orders { 1 };
inline constexpr service_id catalog { 2 };
inline constexpr endpoint caller { 0x0a000001, 5683 };

inline endpoint agentOf(std::uint16_t id)
{
    return { 0x7f000001, static_cast<std::uint16_t>(20000 + id) };
}

inline upstream makeUpstream(std::uint16_t id, service_id service)
{
    upstream result;
    result.id = upstream_id { id };
    result.service = service;
    result.index = static_cast<std::uint8_t>(id);
    result.zone = "a";
    result.agent = agentOf(id);
    return result;
}

// Upstreams 1 to 3 serve orders, upstream 4 serves catalog.
inline configuration_content makeContent(generation_number generation = 1)
{
    using enum request_method;
    configuration_content content;
    content.generation = generation;
    content.keys = { { 1, { 1, 2, 3 } } };
    content.signingKey = 1;
    content.tokenLifetime = 3600s;
    content.services = {
        { orders,
          "orders",
          "manao",
          { 0x7f000001, 5001 },
          { { "stock", class_kind::feed, get, "stock", true, 1, 1000ms },
            { "order", class_kind::request, post, "orders", false, 0, 1000ms } } },
        { catalog,
          "catalog",
          "manao",
          { 0x7f000001, 5002 },
          { { "guide", class_kind::download, get, "guides", true, 2, 5000ms } } },
    };
    content.upstreams = { makeUpstream(1, orders), makeUpstream(2, orders), makeUpstream(3, orders),
                          makeUpstream(4, catalog) };
    return content;
}

inline coap::byte_vector request(coap::message_code code, std::string_view path,
                                 byte_view echo = {},
                                 coap::message_type type = coap::message_type::confirmable)
{
    const std::array<std::uint8_t, 4> token { 1, 2, 3, 4 };
    coap::message_builder builder(type, code, 0x0102, token);
    builder.option(coap::option_number::uriPath, path);
    if (!echo.empty())
        builder.option(coap::option_number::echo, echo);
    return builder.toVector();
}

inline coap::byte_vector stockRequest(byte_view echo = {})
{
    return request(coap::message_code::get, "stock", echo);
}

inline coap::byte_vector orderRequest(byte_view echo = {})
{
    return request(coap::message_code::post, "orders", echo);
}

struct router_fixture
{
    explicit router_fixture(entry_router_options options = { .zone = "a" })
        : router(std::move(options), policy, random)
    {
        configure(makeContent());
    }

    bool configure(configuration_content content)
    {
        return router.configure(std::make_shared<configuration>(std::move(content)), now);
    }

    // A token under which the owner may have run an order.
    flow_token_bytes boundTokenFor(std::uint16_t id)
    {
        return tokenFor(id, orders, incarnation { 0x10000 });
    }

    route_decision route(byte_view packet, service_id service = orders)
    {
        return router.route(caller, service, packet, now);
    }

    // Without bound, the token is unbound.
    flow_token_bytes tokenFor(std::uint16_t id, service_id service = orders,
                              incarnation bound = incarnation::unknown)
    {
        const flow_token token { service, upstream_id { id }, agentOf(id),
                                 bound,   unixSeconds(now),   77 };
        return flow_token_codec(makeContent()).seal(token, caller.address);
    }

    void report(std::uint16_t id, std::uint32_t incarnationNumber = 0x10000,
                agent_state state = agent_state::live)
    {
        agent_report value;
        value.upstream = upstream_id { id };
        value.incarnation = incarnation { incarnationNumber };
        value.state = state;
        router.observe(agentOf(id), value, now);
    }

    // Advances the time. The given agents report every 100 ms, the others are silent.
    void passTime(duration time, const std::vector<std::uint16_t> &reporting)
    {
        for (const time_point end = now + time; now < end; now += 100ms)
            std::ranges::for_each(reporting, [&](std::uint16_t id) { report(id); });
    }

    // Returns the token of a challenge.
    flow_token challengedToken(const route_decision &decision)
    {
        const auto response = coap::message_view::parse(decision.reply);
        const auto echo = response->option(coap::option_number::echo);
        return flow_token_codec(makeContent()).open(*echo, caller.address, now).token;
    }

    // Returns all owners assigned to 200 new flows.
    std::set<std::uint16_t> ownersOfNewFlows()
    {
        std::set<std::uint16_t> owners;
        for (int i = 0; i < 200; ++i)
            owners.insert(toInteger(challengedToken(route(stockRequest())).upstream));
        return owners;
    }

    weighted_random_policy policy;
    seeded_random random { 1 };
    time_point now { 1'800'000'000s };
    entry_router router;
};

} // namespace oriolehold::core::testing
