#include "oriolehold/runtime/configuration_document.h"

#include "oriolehold/runtime/json_object.h"

#include <algorithm>
#include <set>
#include <utility>

namespace oriolehold::runtime {

namespace {

constexpr std::size_t maxKeys = 256;
constexpr std::size_t maxServices = 4096;
constexpr std::size_t maxClasses = 256;
constexpr std::size_t maxInstances = 65536;
constexpr std::uint64_t maxTokenLifetime = 30ULL * 24 * 3600; // seconds
constexpr std::uint64_t maxTicketLifetime = 24ULL * 3600;     // seconds
constexpr std::uint64_t maxDeadline = 24ULL * 3600 * 1000;    // milliseconds
constexpr std::uint64_t maxSlots = 1024;
constexpr std::uint64_t maxConnections = 1'000'000;
constexpr double maxStrength = 1000.0;
constexpr std::size_t maxPathLength = 255;

const std::vector<std::string_view> kindNames { "request", "feed", "download" };
const std::vector<std::string_view> methodNames { "GET", "POST" };
const std::vector<std::string_view> stateNames { "live", "leaving" };

constexpr std::string_view uniqueRule = "a unique value";
constexpr std::string_view hexDigits = "0123456789abcdef";

int hexValue(char digit)
{
    const char lower = digit >= 'A' && digit <= 'F' ? static_cast<char>(digit + 32) : digit;
    const std::size_t position = hexDigits.find(lower);
    return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

bool isSecret(std::string_view text)
{
    return text.size() == 2 * sizeof(core::token_key::secret)
            && std::ranges::none_of(text, [](char digit) { return hexValue(digit) < 0; });
}

// Whether text is a URI path without percent-encoding: segments of printable characters, separated
// by single '/'.
bool isPath(std::string_view text)
{
    return !text.empty() && text.size() <= maxPathLength && !text.starts_with('/')
            && !text.ends_with('/') && text.find("//") == std::string_view::npos
            && std::ranges::all_of(text, [](char c) {
                   return c > ' ' && c < 0x7f && c != '?' && c != '#' && c != '%';
               });
}

// Set of values that must be unique; reports a duplicate as an error of the field.
template<typename Value>
class unique_values
{
public:
    void add(json_object &object, std::string_view field, const Value &value)
    {
        if (!m_seen.insert(value).second)
            object.report(field, std::string(uniqueRule));
    }
    bool contains(const Value &value) const { return m_seen.contains(value); }

private:
    std::set<Value> m_seen;
};

class document_reader
{
public:
    explicit document_reader(error_collector &errors) : m_errors(errors) { }

    core::configuration_content read(const nlohmann::json &json)
    {
        core::configuration_content content;
        json_object root(json, "", m_errors);
        content.generation =
                root.integer("generation", 1, std::numeric_limits<std::uint64_t>::max());
        root.objects("keys", 1, maxKeys,
                     [&](json_object &object) { content.keys.push_back(readKey(object)); });
        content.signingKey = root.integer<std::uint8_t>("signing_key");
        if (!m_keys.contains(content.signingKey))
            root.report("signing_key", "the id of one of the keys");
        const std::uint64_t tokenLifetime = root.integer("token_lifetime_s", 1, maxTokenLifetime);
        content.tokenLifetime = std::chrono::seconds { tokenLifetime };
        content.ticketLifetime = std::chrono::seconds { root.integer(
                "ticket_lifetime_s", 1, std::min(tokenLifetime, maxTicketLifetime)) };
        root.objects("services", 1, maxServices,
                     [&](json_object &object) { content.services.push_back(readService(object)); });
        root.objects("upstreams", 0, maxInstances, [&](json_object &object) {
            content.upstreams.push_back(readUpstream(object));
        });
        root.objects("entries", 0, maxInstances,
                     [&](json_object &object) { content.entries.push_back(readEntry(object)); });
        root.reportUnknownFields();
        return content;
    }

private:
    core::token_key readKey(json_object &object)
    {
        core::token_key key;
        key.id = object.integer<std::uint8_t>("id");
        m_keys.add(object, "id", key.id);
        const std::string secret = object.text("secret", isSecret, "32 hexadecimal digits");
        if (secret.size() == 2 * key.secret.size()) {
            for (std::size_t i = 0; i < key.secret.size(); ++i)
                key.secret[i] = static_cast<std::uint8_t>(hexValue(secret[2 * i]) << 4
                                                          | hexValue(secret[2 * i + 1]));
        }
        return key;
    }

    core::service readService(json_object &object)
    {
        core::service service;
        service.id = core::service_id { object.integer<std::uint16_t>("id") };
        m_services.add(object, "id", service.id);
        service.name = object.identifier("name");
        m_serviceNames.add(object, "name", service.name);
        service.tenant = object.identifier("tenant");
        service.address = readAddress(object, "address");
        unique_values<std::string> names;
        unique_values<std::pair<core::request_method, std::string>> paths;
        object.objects("classes", 1, maxClasses, [&](json_object &item) {
            service.classes.push_back(readClass(item));
            names.add(item, "name", service.classes.back().name);
            paths.add(item, "path", { service.classes.back().method, service.classes.back().path });
        });
        return service;
    }

    static core::request_class readClass(json_object &object)
    {
        core::request_class result;
        result.name = object.identifier("name");
        result.kind = static_cast<core::class_kind>(object.choice("kind", kindNames));
        result.method = static_cast<core::request_method>(object.choice("method", methodNames));
        result.path = object.text("path", isPath,
                                  "1 to 255 characters of a URI path without '/' at its ends");
        result.idempotent = object.boolean("idempotent");
        result.priority = object.integer<std::uint8_t>("priority");
        result.deadline =
                std::chrono::milliseconds { object.integer("deadline_ms", 1, maxDeadline) };
        // A feed moves to another owner and a download repeats blocks, so both must be idempotent
        // GET requests.
        if (result.kind != core::class_kind::request) {
            if (result.method != core::request_method::get)
                object.report("method", "\"GET\" for a feed or a download");
            if (!result.idempotent)
                object.report("idempotent", "true for a feed or a download");
        }
        return result;
    }

    core::upstream readUpstream(json_object &object)
    {
        core::upstream upstream;
        upstream.id = core::upstream_id { object.integer<std::uint16_t>("id") };
        m_upstreams.add(object, "id", upstream.id);
        upstream.service = core::service_id { object.integer<std::uint16_t>("service") };
        if (!m_services.contains(upstream.service))
            object.report("service", "the id of one of the services");
        upstream.index = object.integer<std::uint8_t>("index");
        m_indexes.add(object, "index", { upstream.service, upstream.index });
        upstream.zone = object.identifier("zone");
        upstream.agent = readAddress(object, "agent");
        upstream.slots = static_cast<std::uint16_t>(object.integer("slots", 1, maxSlots));
        upstream.strength = object.positiveNumber("strength", maxStrength);
        upstream.connections =
                static_cast<std::uint32_t>(object.integer("connections", 1, maxConnections));
        upstream.state = static_cast<core::upstream_state>(object.choice("state", stateNames));
        return upstream;
    }

    core::entry_instance readEntry(json_object &object)
    {
        core::entry_instance entry;
        entry.id = core::entry_id { object.integer<std::uint16_t>("id") };
        m_entries.add(object, "id", entry.id);
        entry.zone = object.identifier("zone");
        entry.address = readAddress(object, "address");
        return entry;
    }

    // Services, agents and entries all receive UDP, so their addresses must differ.
    core::endpoint readAddress(json_object &object, std::string_view field)
    {
        const core::endpoint address = object.address(field);
        m_addresses.add(object, field, core::toString(address));
        return address;
    }

    error_collector &m_errors;
    unique_values<std::uint8_t> m_keys;
    unique_values<core::service_id> m_services;
    unique_values<std::string> m_serviceNames;
    unique_values<core::upstream_id> m_upstreams;
    unique_values<std::pair<core::service_id, std::uint8_t>> m_indexes;
    unique_values<core::entry_id> m_entries;
    unique_values<std::string> m_addresses;
};

std::string renderSecret(const core::token_key &key)
{
    std::string result;
    for (const std::uint8_t byte : key.secret) {
        result += hexDigits[byte >> 4];
        result += hexDigits[byte & 0xf];
    }
    return result;
}

template<typename Enum>
std::string_view nameOf(const std::vector<std::string_view> &names, Enum value)
{
    return names[static_cast<std::size_t>(value)];
}

nlohmann::ordered_json render(const core::service &service)
{
    nlohmann::ordered_json classes = nlohmann::ordered_json::array();
    for (const core::request_class &item : service.classes) {
        classes.push_back({ { "name", item.name },
                            { "kind", nameOf(kindNames, item.kind) },
                            { "method", nameOf(methodNames, item.method) },
                            { "path", item.path },
                            { "idempotent", item.idempotent },
                            { "priority", item.priority },
                            { "deadline_ms", item.deadline.count() } });
    }
    return { { "id", core::toInteger(service.id) },
             { "name", service.name },
             { "tenant", service.tenant },
             { "address", core::toString(service.address) },
             { "classes", std::move(classes) } };
}

nlohmann::ordered_json render(const core::upstream &upstream)
{
    return { { "id", core::toInteger(upstream.id) },
             { "service", core::toInteger(upstream.service) },
             { "index", upstream.index },
             { "zone", upstream.zone },
             { "agent", core::toString(upstream.agent) },
             { "slots", upstream.slots },
             { "strength", upstream.strength },
             { "connections", upstream.connections },
             { "state", nameOf(stateNames, upstream.state) } };
}

} // namespace

boost::leaf::result<core::configuration_content> parseDocument(std::string_view json)
{
    error_collector errors;
    const nlohmann::json root = parseJson(json, { .maxSize = maxDocumentSize }, errors);
    core::configuration_content content;
    if (!errors.first())
        content = document_reader(errors).read(root);
    if (errors.first())
        return boost::leaf::new_error(
                document_error { errors.first()->path, errors.first()->expected });
    return content;
}

std::string renderDocument(const core::configuration_content &content)
{
    nlohmann::ordered_json root;
    root["generation"] = content.generation;
    root["keys"] = nlohmann::ordered_json::array();
    for (const core::token_key &key : content.keys)
        root["keys"].push_back({ { "id", key.id }, { "secret", renderSecret(key) } });
    root["signing_key"] = content.signingKey;
    root["token_lifetime_s"] = content.tokenLifetime.count();
    root["ticket_lifetime_s"] = content.ticketLifetime.count();
    root["services"] = nlohmann::ordered_json::array();
    for (const core::service &service : content.services)
        root["services"].push_back(render(service));
    root["upstreams"] = nlohmann::ordered_json::array();
    for (const core::upstream &upstream : content.upstreams)
        root["upstreams"].push_back(render(upstream));
    root["entries"] = nlohmann::ordered_json::array();
    for (const core::entry_instance &entry : content.entries) {
        root["entries"].push_back({ { "id", core::toInteger(entry.id) },
                                    { "zone", entry.zone },
                                    { "address", core::toString(entry.address) } });
    }
    return root.dump() + '\n';
}

} // namespace oriolehold::runtime
