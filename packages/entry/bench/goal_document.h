#pragma once

#include "oriolehold/core/configuration.h"
#include "oriolehold/runtime/configuration_document.h"

#include <nlohmann/json.hpp>

#include <string>

// Generates configuration documents up to the goal size (docs/CAPACITY.md).

namespace oriolehold::capacity {

inline constexpr std::size_t goalUpstreams = 3600;
inline constexpr std::size_t goalServices = 540;
inline constexpr std::size_t goalEntries = 620;
inline constexpr std::size_t goalReaders = goalUpstreams + goalEntries;

// Upstreams are spread evenly over the services; a service can have at most 256.
inline core::configuration_content makeContent(std::size_t upstreams, std::size_t services,
                                               std::size_t entries)
{
    using namespace std::chrono_literals;
    using core::class_kind;
    using core::request_method;
    // Loopback addresses, because a daemon with such a document sends probes to the agents.
    constexpr std::uint32_t agentNetwork = 0x7f010000;
    constexpr std::uint32_t entryNetwork = 0x7f020000;
    constexpr std::uint32_t callerNetwork = 0x7f030000;
    const auto zone = [](std::size_t i) {
        return "region-" + std::to_string(i / 4 % 2 + 1) + "-zone-" + std::to_string(i % 4 + 1);
    };
    core::configuration_content content;
    content.generation = 1;
    content.keys = { { 1, { 1, 2, 3 } }, { 2, { 4, 5, 6 } } };
    content.signingKey = 1;
    for (std::size_t i = 0; i < services; ++i) {
        core::service item;
        item.id = core::service_id { static_cast<std::uint16_t>(i + 1) };
        item.name = "orders-" + std::to_string(i + 1);
        item.tenant = "tenant-" + std::to_string(i / 2 + 1);
        item.address = { callerNetwork + static_cast<std::uint32_t>(i + 1), 5683 };
        item.classes = {
            { "stock-feed", class_kind::feed, request_method::get, "stock", true, 0, 2000ms },
            { "kit-order", class_kind::request, request_method::post, "orders", false, 0, 2000ms },
            { "report", class_kind::download, request_method::get, "reports", true, 2, 10000ms },
        };
        content.services.push_back(std::move(item));
    }
    for (std::size_t i = 0; i < upstreams; ++i) {
        core::upstream item;
        item.id = core::upstream_id { static_cast<std::uint16_t>(i + 1) };
        item.service = content.services[i % services].id;
        item.index = static_cast<std::uint8_t>(i / services);
        item.zone = zone(i);
        item.agent = { agentNetwork + static_cast<std::uint32_t>(i + 1), 7001 };
        item.slots = 2;
        item.strength = 1.0 + static_cast<double>(i % 4);
        item.connections = 1'000'000;
        content.upstreams.push_back(std::move(item));
    }
    for (std::size_t i = 0; i < entries; ++i) {
        core::entry_instance item;
        item.id = core::entry_id { static_cast<std::uint16_t>(i + 1) };
        item.zone = zone(i);
        item.address = { entryNetwork + static_cast<std::uint32_t>(i + 1), 7000 };
        content.entries.push_back(std::move(item));
    }
    return content;
}

// Renders the document without white space. With indentation, a document of the goal size exceeds
// the platform's limit.
inline std::string renderCompact(const core::configuration_content &content)
{
    return nlohmann::ordered_json::parse(runtime::renderDocument(content)).dump();
}

} // namespace oriolehold::capacity
