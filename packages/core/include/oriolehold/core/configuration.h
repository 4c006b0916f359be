#pragma once

#include "oriolehold/core/types.h"

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

// Immutable configuration with lookup indexes, built only from a validated document
// (oriolehold/runtime/configuration_document.h).

namespace oriolehold::core {

struct token_key
{
    std::uint8_t id = 0;
    std::array<std::uint8_t, 16> secret {};

    bool operator==(const token_key &) const = default;
};

enum class class_kind : std::uint8_t { request, feed, download };
enum class request_method : std::uint8_t { get, post };

// A class of requests within a service.
struct request_class
{
    std::string name;
    class_kind kind = class_kind::request;
    request_method method = request_method::get;
    std::string path; // without a leading '/'; matches itself and every path below it
    bool idempotent = true;
    std::uint8_t priority = 0; // 0 is the highest
    std::chrono::milliseconds deadline { 1000 };

    bool operator==(const request_class &) const = default;
};

struct service
{
    service_id id {};
    std::string name;
    std::string tenant;
    endpoint address; // destination address of the callers
    std::vector<request_class> classes;

    bool operator==(const service &) const = default;
};

enum class upstream_state : std::uint8_t { live, leaving };

struct upstream
{
    upstream_id id {};
    service_id service {};
    std::uint8_t index = 0; // unique within the service; high byte of the agent's message IDs
    std::string zone;
    endpoint agent;
    std::uint16_t slots = 1;
    double strength = 1.0; // relative speed of one slot
    std::uint32_t connections = 2000;
    upstream_state state = upstream_state::live;

    bool operator==(const upstream &) const = default;
};

struct entry_instance
{
    entry_id id {};
    std::string zone;
    endpoint address; // for envelopes

    bool operator==(const entry_instance &) const = default;
};

// Content of a configuration document.
struct configuration_content
{
    generation_number generation = 0;
    std::vector<token_key> keys;
    std::uint8_t signingKey = 0;
    std::chrono::seconds tokenLifetime { 86400 };
    std::chrono::seconds ticketLifetime { 120 };
    std::vector<service> services;
    std::vector<upstream> upstreams;
    std::vector<entry_instance> entries;

    bool operator==(const configuration_content &) const = default;
};

class configuration
{
public:
    // content must be valid: identifiers unique and references resolvable.
    explicit configuration(configuration_content content);
    // Not copyable: the indexes point into the content.
    configuration(const configuration &) = delete;
    configuration &operator=(const configuration &) = delete;

    const configuration_content &content() const { return m_content; }
    generation_number generation() const { return m_content.generation; }

    // The find functions return nullptr if nothing matches.
    const service *findService(service_id id) const;
    const service *findServiceByAddress(const endpoint &address) const;
    const upstream *findUpstream(upstream_id id) const;
    const upstream *findUpstreamByIndex(service_id service, std::uint8_t index) const;
    const upstream *findUpstreamByAgent(const endpoint &agent) const;

    // All upstreams of the service, live and leaving.
    std::span<const upstream *const> upstreamsOf(service_id service) const;

private:
    configuration_content m_content;
    std::unordered_map<std::uint16_t, const service *> m_services;
    std::unordered_map<endpoint, const service *, endpoint_hash> m_servicesByAddress;
    std::unordered_map<std::uint16_t, const upstream *> m_upstreams;
    std::unordered_map<std::uint32_t, const upstream *> m_upstreamsByIndex;
    std::unordered_map<endpoint, const upstream *, endpoint_hash> m_upstreamsByAgent;
    std::unordered_map<std::uint16_t, std::vector<const upstream *>> m_upstreamsByService;
};

using configuration_pointer = std::shared_ptr<const configuration>;

// Returns the class whose method and path match. A class path matches itself and every path below
// it; the longest match wins. nullptr if none matches. path has no leading '/'.
const request_class *findClass(const service &service, request_method method,
                               std::string_view path);

} // namespace oriolehold::core
