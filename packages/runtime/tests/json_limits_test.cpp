#include "oriolehold/runtime/json_object.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::runtime;

namespace {

// What the text violates; empty when it is parsed.
std::string errorOf(const std::string &text, const json_limits &limits)
{
    error_collector errors;
    parseJson(text, limits, errors);
    return errors.first() ? errors.first()->expected : std::string();
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_GROUP(json_limits) {};

// Copies, comparisons and output of a value recurse once a level.
TEST(json_limits, DepthIsLimited)
{
    const json_limits limits { .maxSize = 1'000'000, .maxDepth = 8 };

    STRCMP_EQUAL("", errorOf(nested(8), limits).c_str());
    STRCMP_EQUAL("at most 8 nested arrays and objects", errorOf(nested(9), limits).c_str());
    STRCMP_EQUAL("at most 8 nested arrays and objects", errorOf(nested(400'000), limits).c_str());
}

// Many small values take many times the memory of their text.
TEST(json_limits, NumberOfValuesIsLimited)
{
    const json_limits limits { .maxSize = 1'000'000, .maxValues = 4 };

    STRCMP_EQUAL("", errorOf("[1,2,3]", limits).c_str());
    STRCMP_EQUAL("at most 4 values", errorOf("[1,2,3,4]", limits).c_str());
    STRCMP_EQUAL("at most 4 values", errorOf(R"({"a":{},"b":{},"c":[],"d":[]})", limits).c_str());
}

TEST(json_limits, SizeIsLimited)
{
    STRCMP_EQUAL("at most 3 bytes", errorOf("[ 1]", { .maxSize = 3 }).c_str());
}

// Brackets in comments and strings are no nesting.
TEST(json_limits, CommentsAreAllowedWhereTheLimitsSaySo)
{
    const std::string text = "[ // [[[[\n \"[[[[\" ]";

    STRCMP_EQUAL("", errorOf(text, { .maxSize = 100, .maxDepth = 1 }).c_str());
    CHECK_TRUE(errorOf(text, { .maxSize = 100, .maxDepth = 1, .allowComments = false })
                       .starts_with("valid JSON"));
}
