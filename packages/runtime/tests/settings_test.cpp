#include "oriolehold/runtime/settings.h"

#include <nlohmann/json.hpp>

#include <functional>

// Redefines new, so it comes after all other headers.
#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::runtime;
using nlohmann::json;

namespace {

json entryJson()
{
    return json::parse(R"({ "id": 1, "zone": "a", "envelope_address": "127.0.0.1:18301",
        "listeners": [ { "service": 1, "address": "127.0.0.1:18101" } ],
        "platform": "127.0.0.1:18000", "admin": "127.0.0.1:18401" })");
}

json agentJson()
{
    return json::parse(R"({ "id": 11, "zone": "a", "envelope_address": "127.0.0.1:18201",
        "upstream": "127.0.0.1:18501", "platform": "127.0.0.1:18000",
        "admin": "127.0.0.1:18402" })");
}

template<typename Settings>
std::string errorPath(const std::function<boost::leaf::result<Settings>()> &parse,
                      Settings *settings = nullptr)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_AUTO(parsed, parse());
                if (settings != nullptr)
                    *settings = parsed;
                return std::string("valid");
            },
            [](const settings_error &error) { return error.path; },
            [] { return std::string("another error"); });
}

std::string entryError(const char *pointer, const json &value)
{
    json document = entryJson();
    document[json::json_pointer(pointer)] = value;
    return errorPath<entry_settings>([&] { return parseEntrySettings(document.dump()); });
}

std::string agentError(const char *pointer, const json &value)
{
    json document = agentJson();
    document[json::json_pointer(pointer)] = value;
    return errorPath<agent_settings>([&] { return parseAgentSettings(document.dump()); });
}

} // namespace

TEST_GROUP(settings) {};

TEST(settings, EntryRequiresOnlyFieldsWithoutDefault)
{
    entry_settings settings;
    STRCMP_EQUAL("valid",
                 errorPath<entry_settings>([] { return parseEntrySettings(entryJson().dump()); },
                                           &settings)
                         .c_str());
    STRCMP_EQUAL("127.0.0.1:18101", core::toString(settings.listeners[0].address).c_str());
    LONGS_EQUAL(1500, settings.suspectAfter.count());
    STRCMP_EQUAL("smooth-weighted", settings.policy.c_str());
    CHECK_TRUE(settings.drainKey.empty());
}

TEST(settings, AgentReadsOptionalFields)
{
    json document = agentJson();
    document["peers"] = { "127.0.0.1:18401" };
    document["max_queued"] = 9;
    document["keep_alive_ms"] = 700;
    document["drain_limit_s"] = 5;
    document["log"] = { { "format", "json" } };
    agent_settings settings;
    STRCMP_EQUAL("valid",
                 errorPath<agent_settings>([&] { return parseAgentSettings(document.dump()); },
                                           &settings)
                         .c_str());
    LONGS_EQUAL(1, settings.peers.size());
    LONGS_EQUAL(9, settings.maxQueued);
    LONGS_EQUAL(700, settings.keepAlive.count());
    LONGS_EQUAL(5, settings.drainLimit.count());
    STRCMP_EQUAL("json", settings.log.format.c_str());
}

TEST(settings, ErrorsContainThePathOfTheInvalidValue)
{
    STRCMP_EQUAL("id", entryError("/id", "1").c_str());
    STRCMP_EQUAL("listeners[0].address", entryError("/listeners/0/address", "localhost:1").c_str());
    STRCMP_EQUAL("listeners", entryError("/listeners", json::array()).c_str());
    STRCMP_EQUAL("peers[0]", entryError("/peers", { 5 }).c_str());
    STRCMP_EQUAL("traffic_threads", entryError("/traffic_threads", 0).c_str());
    STRCMP_EQUAL("suspect_after_ms", entryError("/suspect_after_ms", 99).c_str());
    STRCMP_EQUAL("drain_key", entryError("/drain_key", "short").c_str());
    STRCMP_EQUAL("log.level", entryError("/log", { { "level", "loud" } }).c_str());
    STRCMP_EQUAL("log.colour", entryError("/log", { { "colour", true } }).c_str());
    STRCMP_EQUAL("upstream", agentError("/upstream", "127.0.0.1:0").c_str());
    STRCMP_EQUAL("max_ledger", agentError("/max_ledger", -1).c_str());
    STRCMP_EQUAL("warm_up_ms", agentError("/warm_up_ms", 600001).c_str());
    STRCMP_EQUAL("listeners", agentError("/listeners", json::array()).c_str());
}

TEST(settings, MissingFileIsAnError)
{
    STRCMP_EQUAL("", errorPath<entry_settings>([] {
                         return loadEntrySettings(ORIOLEHOLD_SOURCE_DIR "/no-such-file.json");
                     }).c_str());
    STRCMP_EQUAL("", errorPath<entry_settings>([] {
                         return loadEntrySettings(ORIOLEHOLD_SOURCE_DIR); // a directory
                     }).c_str());
}
