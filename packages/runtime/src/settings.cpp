#include "oriolehold/runtime/settings.h"

#include "oriolehold/runtime/endpoint_text.h"
#include "oriolehold/runtime/json_object.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace oriolehold::runtime {

namespace {

constexpr std::size_t maxSettingsSize = std::size_t { 256 } * 1024; // bytes
constexpr std::size_t maxListeners = 1024;
constexpr std::size_t maxPeers = 64;
constexpr std::uint64_t maxTrafficThreads = 64;
constexpr std::uint64_t maxQueueLength = 100'000;
constexpr std::uint64_t maxLedgerSize = 10'000'000;
// A shorter time takes network jitter for a failure.
constexpr std::uint64_t minSuspectAfter = 100;    // milliseconds
constexpr std::uint64_t maxSuspectAfter = 60'000; // milliseconds
constexpr std::uint64_t maxWarmUp = 600'000;      // milliseconds
constexpr std::uint64_t maxDrainLimit = 3600;     // seconds
constexpr std::uint64_t minKeepAlive = 100;       // milliseconds
constexpr std::uint64_t maxKeepAlive = 60'000;    // milliseconds
constexpr double maxWarmUpOverage = 100;
constexpr std::uint64_t maxWarmUpSlack = 10'000;   // opening packets a second
constexpr std::uint64_t maxFirstUseDelay = 10'000; // milliseconds
constexpr std::size_t minDrainKey = 8;             // characters
constexpr std::size_t maxDrainKey = 256;           // characters

const std::vector<std::string_view> levels { "debug", "info", "warning", "error" };
const std::vector<std::string_view> formats { "text", "json" };
const std::vector<std::string_view> outputs { "stderr", "stdout" };

bool isDrainKey(std::string_view text)
{
    return text.empty()
            || (text.size() >= minDrainKey && text.size() <= maxDrainKey
                && std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7f; }));
}

log_settings readLog(json_object &root)
{
    log_settings result;
    json_object object = root.objectOr("log");
    if (object.has("level"))
        result.level = levels[object.choice("level", levels)];
    if (object.has("format"))
        result.format = formats[object.choice("format", formats)];
    if (object.has("output"))
        result.output = outputs[object.choice("output", outputs)];
    object.reportUnknownFields();
    return result;
}

std::vector<core::endpoint> readAddresses(json_object &root, std::string_view name,
                                          error_collector &errors)
{
    std::vector<core::endpoint> result;
    if (!root.has(name))
        return result;
    root.elements(name, 0, maxPeers, [&](const nlohmann::json &element, const std::string &path) {
        const auto address = element.is_string()
                ? parseEndpoint(element.get_ref<const std::string &>())
                : std::nullopt;
        if (!address)
            errors.report(path, std::string(addressRule));
        else if (std::ranges::find(result, *address) != result.end())
            errors.report(path, "a unique value");
        else
            result.push_back(*address);
    });
    return result;
}

std::vector<listener> readListeners(json_object &root)
{
    std::vector<listener> result;
    root.objects("listeners", 1, maxListeners, [&](json_object &object) {
        listener item;
        item.service = core::service_id { object.integer<std::uint16_t>("service") };
        item.address = object.address("address");
        if (std::ranges::find(result, item.address, &listener::address) != result.end())
            object.report("address", "a unique value");
        result.push_back(item);
    });
    return result;
}

// Reads the fields that entry and agent have in common.
template<typename Settings>
void readCommon(json_object &root, error_collector &errors, Settings &settings)
{
    settings.zone = root.identifier("zone");
    settings.envelopeAddress = root.address("envelope_address");
    settings.platform = root.address("platform");
    settings.admin = root.address("admin");
    settings.drainKey = root.textOr("drain_key", "", isDrainKey,
                                    "8 to 256 visible ASCII characters, or an empty string");
    settings.peers = readAddresses(root, "peers", errors);
    settings.drainLimit = std::chrono::seconds { root.integerOr(
            "drain_limit_s", static_cast<std::uint64_t>(settings.drainLimit.count()), 1,
            maxDrainLimit) };
    settings.warmUp = std::chrono::milliseconds { root.integerOr(
            "warm_up_ms", static_cast<std::uint64_t>(settings.warmUp.count()), 0, maxWarmUp) };
    settings.log = readLog(root);
}

entry_settings readEntry(json_object &root, error_collector &errors)
{
    entry_settings settings;
    settings.id = core::entry_id { root.integer<std::uint16_t>("id") };
    readCommon(root, errors, settings);
    settings.listeners = readListeners(root);
    settings.trafficThreads = static_cast<unsigned>(
            root.integerOr("traffic_threads", settings.trafficThreads, 1, maxTrafficThreads));
    settings.policy = root.textOr("policy", settings.policy, isIdentifier, identifierRule);
    settings.suspectAfter = std::chrono::milliseconds { root.integerOr(
            "suspect_after_ms", static_cast<std::uint64_t>(settings.suspectAfter.count()),
            minSuspectAfter, maxSuspectAfter) };
    return settings;
}

agent_settings readAgent(json_object &root, error_collector &errors)
{
    agent_settings settings;
    settings.id = core::upstream_id { root.integer<std::uint16_t>("id") };
    readCommon(root, errors, settings);
    settings.upstream = root.address("upstream");
    settings.scheduler = root.textOr("scheduler", settings.scheduler, isIdentifier, identifierRule);
    settings.maxQueued = root.integerOr("max_queued", settings.maxQueued, 1, maxQueueLength);
    settings.maxLedger = root.integerOr("max_ledger", settings.maxLedger, 1, maxLedgerSize);
    settings.keepAlive = std::chrono::milliseconds { root.integerOr(
            "keep_alive_ms", static_cast<std::uint64_t>(settings.keepAlive.count()), minKeepAlive,
            maxKeepAlive) };
    return settings;
}

bool isPath(std::string_view text)
{
    return text.starts_with('/') && std::ranges::none_of(text, [](char c) { return c <= ' '; });
}

flow_settings readFlow(json_object &root)
{
    flow_settings settings;
    settings.instance = root.identifier("instance");
    settings.zone = root.identifier("zone");
    settings.packets = root.address("packets");
    settings.peerPort = root.integer<std::uint16_t>("peer_port");
    settings.admin = root.address("admin");
    if (root.has("metrics"))
        settings.metrics = root.address("metrics");
    settings.readyPath =
            root.textOr("ready_path", settings.readyPath, isPath, "a path that starts with '/'");
    settings.drainLimit = std::chrono::seconds { root.integerOr(
            "drain_limit_s", static_cast<std::uint64_t>(settings.drainLimit.count()), 1,
            maxDrainLimit) };
    settings.evacuation = root.has("evacuation") && root.boolean("evacuation");
    if (root.has("warm_up_overage") || root.has("warm_up_slack"))
        settings.warmUp = warm_up_bounds { root.positiveNumber("warm_up_overage", maxWarmUpOverage),
                                           static_cast<std::uint32_t>(root.integer(
                                                   "warm_up_slack", 0, maxWarmUpSlack)) };
    settings.log = readLog(root);
    return settings;
}

flow_settings readFlowEntry(json_object &root, error_collector &errors)
{
    flow_settings settings = readFlow(root);
    settings.store = root.address("store");
    settings.seeds = readAddresses(root, "seeds", errors);
    settings.firstUseDelay = std::chrono::milliseconds { root.integerOr("first_use_delay_ms", 0, 0,
                                                                        maxFirstUseDelay) };
    return settings;
}

flow_settings readFlowAgent(json_object &root, error_collector &)
{
    flow_settings settings = readFlow(root);
    settings.service = root.identifier("service");
    settings.upstream = root.address("upstream");
    settings.upstreamPackets = root.address("upstream_packets");
    settings.pace = root.has("pace") && root.boolean("pace");
    settings.overloadControl = root.has("overload_control") && root.boolean("overload_control");
    return settings;
}

template<typename Settings>
boost::leaf::result<Settings> parse(std::string_view json,
                                    Settings (*read)(json_object &, error_collector &))
{
    error_collector errors;
    const nlohmann::json value = parseJson(json, { .maxSize = maxSettingsSize }, errors);
    Settings settings;
    if (!errors.first()) {
        json_object root(value, "", errors);
        settings = read(root, errors);
        root.reportUnknownFields();
    }
    if (errors.first())
        return boost::leaf::new_error(
                settings_error { errors.first()->path, errors.first()->expected });
    return settings;
}

boost::leaf::result<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf(); // sets the bad bit if reading fails, for example of a directory
    if (!stream.is_open() || text.fail())
        return boost::leaf::new_error(settings_error { "", "a readable file " + file });
    return text.str();
}

} // namespace

boost::leaf::result<entry_settings> parseEntrySettings(std::string_view json)
{
    return parse(json, readEntry);
}

boost::leaf::result<agent_settings> parseAgentSettings(std::string_view json)
{
    return parse(json, readAgent);
}

boost::leaf::result<flow_settings> parseFlowEntrySettings(std::string_view json)
{
    return parse(json, readFlowEntry);
}

boost::leaf::result<flow_settings> parseFlowAgentSettings(std::string_view json)
{
    return parse(json, readFlowAgent);
}

boost::leaf::result<flow_settings> loadFlowEntrySettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    BOOST_LEAF_AUTO(settings, parseFlowEntrySettings(text));
    settings.file = file;
    return settings;
}

boost::leaf::result<flow_settings> loadFlowAgentSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    BOOST_LEAF_AUTO(settings, parseFlowAgentSettings(text));
    settings.file = file;
    return settings;
}

boost::leaf::result<entry_settings> loadEntrySettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return parseEntrySettings(text);
}

boost::leaf::result<agent_settings> loadAgentSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return parseAgentSettings(text);
}

} // namespace oriolehold::runtime
