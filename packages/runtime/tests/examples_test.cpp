#include "oriolehold/runtime/configuration_document.h"
#include "oriolehold/runtime/settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

// Redefines new, so it comes after all other headers.
#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::runtime;

namespace {

const std::string root = ORIOLEHOLD_SOURCE_DIR;

std::string readFile(const std::string &file)
{
    std::ifstream stream(root + file);
    return { std::istreambuf_iterator<char>(stream), {} };
}

// Parses an example file; fails the test with the path of the invalid value.
template<typename Value>
Value parseValid(boost::leaf::result<Value> (*parse)(std::string_view), const std::string &file)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<Value> { return parse(readFile(file)); },
            [&](const document_error &error) {
                FAIL((file + ": " + error.path).c_str());
                return Value();
            },
            [&](const settings_error &error) {
                FAIL((file + ": " + error.path).c_str());
                return Value();
            },
            [] { return Value(); });
}

// Fails the test for each field of the object that has no row in a table of the page.
void checkDocumented(const nlohmann::json &object, const std::string &prefix,
                     const std::string &page)
{
    for (const auto &[key, element] : object.items()) {
        if (element.is_object()) {
            checkDocumented(element, key + '.', page);
            continue;
        }
        std::string row = "\n| `";
        row.append(prefix).append(key).append("` |");
        CHECK_TRUE_TEXT(page.find(row) != std::string::npos, row.c_str());
        if (element.is_array() && element.front().is_object())
            checkDocumented(element.front(), key + "[].", page);
    }
}

} // namespace

TEST_GROUP(examples) { static void checkDeployment(const std::string &folder, std::size_t zones) {
        const auto document = parseValid(parseDocument, folder + "/document.json");
const auto entry = parseValid(parseEntrySettings, folder + "/entry.json");
const auto agent = parseValid(parseAgentSettings, folder + "/agent.json");

LONGS_EQUAL(zones, document.entries.size());
const auto instance = std::ranges::find(document.entries, entry.id, &core::entry_instance::id);
CHECK_TRUE(instance != document.entries.end());
CHECK_TRUE(instance->address == entry.envelopeAddress && instance->zone == entry.zone);
const auto upstream = std::ranges::find(document.upstreams, agent.id, &core::upstream::id);
CHECK_TRUE(upstream != document.upstreams.end());
CHECK_TRUE(upstream->agent == agent.envelopeAddress && upstream->zone == agent.zone);
}
}
;

TEST(examples, ManaoExampleIsValidAndConsistent)
{
    checkDeployment("/examples/manao", 3);
}

TEST(examples, AssociationExampleIsValidAndConsistent)
{
    checkDeployment("/examples/association", 4);
}

TEST(examples, EveryFieldIsDocumented)
{
    const std::string page = readFile("/docs/configuration.md");
    for (const char *file : { "document.json", "entry.json", "agent.json" })
        checkDocumented(nlohmann::json::parse(readFile(std::string("/examples/manao/") + file),
                                              nullptr, true, true),
                        "", page);
}
