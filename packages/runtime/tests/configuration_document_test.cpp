#include "oriolehold/runtime/configuration_document.h"

#include "example_document.h"

#include <optional>

// Redefines new, so it comes after all other headers.
#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::runtime;
using nlohmann::json;
using testing::exampleDocument;

namespace {

// Parses text; returns an empty optional and sets error if it is invalid.
std::optional<core::configuration_content> parsed(const std::string &text, document_error &error)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<core::configuration_content>> {
                BOOST_LEAF_AUTO(content, parseDocument(text));
                return std::optional(content);
            },
            [&](const document_error &found) {
                error = found;
                return std::optional<core::configuration_content>();
            },
            [] { return std::optional<core::configuration_content>(); });
}

// Path of the value that is reported as invalid; "valid" if the document is.
std::string errorPath(const std::string &text)
{
    document_error error;
    return parsed(text, error) ? "valid" : error.path;
}

// The same for the example document with one value replaced.
std::string errorPath(const char *pointer, const json &value)
{
    json document = exampleDocument();
    document[json::json_pointer(pointer)] = value;
    return errorPath(document.dump());
}

} // namespace

TEST_GROUP(configuration_document) {};

TEST(configuration_document, ReadsEveryField)
{
    document_error error;
    const auto content = parsed(testing::exampleText(), error);
    CHECK_TRUE(content.has_value());
    UNSIGNED_LONGS_EQUAL(7, content->generation);
    UNSIGNED_LONGS_EQUAL(0x0f, content->keys[0].secret[15]);
    UNSIGNED_LONGS_EQUAL(120, content->ticketLifetime.count());
    CHECK_TRUE(content->services[0].classes[0].kind == core::class_kind::feed);
    CHECK_TRUE(content->services[0].classes[1].method == core::request_method::post);
    CHECK_FALSE(content->services[0].classes[1].idempotent);
    DOUBLES_EQUAL(1.5, content->upstreams[0].strength, 0.0);
    CHECK_TRUE(content->upstreams[1].state == core::upstream_state::leaving);
    STRCMP_EQUAL("127.0.0.1:18301", core::toString(content->entries[0].address).c_str());
}

TEST(configuration_document, RenderedContentParsesToTheSameContent)
{
    document_error error;
    const auto content = parsed(testing::exampleText(), error);
    CHECK_TRUE(content == parsed(renderDocument(*content), error));
}

TEST(configuration_document, AcceptsComments)
{
    STRCMP_EQUAL("valid", errorPath("// published by hand\n" + testing::exampleText()).c_str());
}

TEST(configuration_document, RejectsValuesOfAWrongTypeOrOutOfRange)
{
    const std::pair<const char *, json> cases[] = {
        { "/generation", 0 },
        { "/generation", -1 },
        { "/generation", 1.0 },
        { "/generation", "7" },
        { "/keys/0/id", 256 },
        { "/keys/0/secret", "00" },
        { "/keys/0/secret", "g00102030405060708090a0b0c0d0e0f" },
        { "/signing_key", 2 },
        { "/ticket_lifetime_s", 3601 },
        { "/services/0/id", 65536 },
        { "/services/0/name", "two words" },
        { "/services/0/address", "127.0.0.1" },
        { "/services/0/classes", json::array() },
        { "/services/0/classes/0/kind", "stream" },
        { "/services/0/classes/0/method", "POST" },
        { "/services/0/classes/0/idempotent", false },
        { "/services/0/classes/0/path", "/stock" },
        { "/services/0/classes/1/priority", 256 },
        { "/services/0/classes/1/deadline_ms", 0 },
        { "/upstreams/0/service", 2 },
        { "/upstreams/0/slots", 0 },
        { "/upstreams/0/strength", 0 },
        { "/upstreams/0/state", "dead" },
        { "/entries/0/zone", "" },
        { "/entries", nullptr },
    };
    for (const auto &[pointer, value] : cases) {
        const std::string expected = json::json_pointer(pointer).to_string();
        std::string path = '/' + errorPath(pointer, value);
        for (char &c : path)
            c = c == '.' || c == '[' ? '/' : c;
        std::erase(path, ']');
        STRCMP_EQUAL(expected.c_str(), path.c_str());
    }
}

TEST(configuration_document, RejectsValuesThatMustBeUnique)
{
    STRCMP_EQUAL("upstreams[1].id", errorPath("/upstreams/1/id", 11).c_str());
    STRCMP_EQUAL("upstreams[1].index", errorPath("/upstreams/1/index", 0).c_str());
    STRCMP_EQUAL("upstreams[1].agent", errorPath("/upstreams/1/agent", "127.0.0.1:18201").c_str());
    STRCMP_EQUAL("entries[0].address", errorPath("/entries/0/address", "127.0.0.1:18201").c_str());
    STRCMP_EQUAL("services[0].classes[1].name",
                 errorPath("/services/0/classes/1/name", "feed").c_str());
}

TEST(configuration_document, RejectsMissingAndUnknownFields)
{
    json document = exampleDocument();
    document["upstreams"][1].erase("slots");
    STRCMP_EQUAL("upstreams[1].slots", errorPath(document.dump()).c_str());
    STRCMP_EQUAL("services[0].adress", errorPath("/services/0/adress", "x").c_str());
}

TEST(configuration_document, RejectsDuplicateFields)
{
    const std::string text = testing::exampleText();
    STRCMP_EQUAL("generation", errorPath("{\"generation\":9," + text.substr(1)).c_str());
}

TEST(configuration_document, RejectsEveryTruncationWithoutThrowing)
{
    const std::string text = testing::exampleText();
    for (std::size_t size = 0; size < text.size(); ++size)
        STRCMP_EQUAL("", errorPath(text.substr(0, size)).c_str());
}

TEST(configuration_document, RejectsDeepNestingAndOversizeWithoutThrowing)
{
    STRCMP_EQUAL("", errorPath(std::string(maxDocumentSize, '[')).c_str());
    const std::string text = testing::exampleText();
    const std::string filler(maxDocumentSize - text.size(), ' ');
    STRCMP_EQUAL("valid", errorPath(text + filler).c_str());
    STRCMP_EQUAL("", errorPath(text + filler + ' ').c_str());
}
