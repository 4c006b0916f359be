#include "oriolehold/runtime/json_slices.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::runtime;

namespace {

std::string textOf(std::optional<std::string_view> text)
{
    return std::string(text.value_or("(none)"));
}

} // namespace

TEST_GROUP(json_slices) {};

TEST(json_slices, FindsTheFieldsOfAnObject)
{
    const std::string object = R"( { "a" : 1 , "b":"x, }" ,"c": [1,{"a":2}], "d":true } )";

    STRCMP_EQUAL("1", textOf(fieldText(object, "a")).c_str());
    STRCMP_EQUAL("\"x, }\"", textOf(fieldText(object, "b")).c_str());
    STRCMP_EQUAL("[1,{\"a\":2}]", textOf(fieldText(object, "c")).c_str());
    STRCMP_EQUAL("true", textOf(fieldText(object, "d")).c_str());
    STRCMP_EQUAL("(none)", textOf(fieldText(object, "e")).c_str());
}

// A quote inside a string must not end it.
TEST(json_slices, EscapedQuotesDoNotEndAString)
{
    STRCMP_EQUAL("2", textOf(fieldText(R"({"a":"\"b\":1,\\","b":2})", "b")).c_str());
    STRCMP_EQUAL("3", textOf(fieldText(R"({"a":"\\\"}","b":3})", "b")).c_str());
}

TEST(json_slices, SplitsAnArrayIntoItsElements)
{
    const auto slices = sliceArray(R"({"n":1,"items":[{"a":[1,2]}, 7 ,"x]",[]],"m":2})", "items");

    CHECK_TRUE(slices.has_value());
    STRCMP_EQUAL(R"({"n":1,"items":[],"m":2})", slices->envelope.c_str());
    CHECK_EQUAL(4, slices->elements.size());
    STRCMP_EQUAL(R"({"a":[1,2]})", std::string(slices->elements[0]).c_str());
    STRCMP_EQUAL("7", std::string(slices->elements[1]).c_str());
    STRCMP_EQUAL("\"x]\"", std::string(slices->elements[2]).c_str());
    STRCMP_EQUAL("[]", std::string(slices->elements[3]).c_str());
    CHECK_EQUAL(0, sliceArray(R"({"items":[ ]})", "items")->elements.size());
}

// One function call a level would overflow the stack.
TEST(json_slices, SplitsAnArrayWithADeeplyNestedElement)
{
    constexpr std::size_t depth = 500'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const auto slices = sliceArray("{\"items\":[" + deep + ",2]}", "items");

    CHECK_TRUE(slices.has_value());
    CHECK_EQUAL(2, slices->elements.size());
    CHECK_EQUAL(2 * depth, slices->elements[0].size());
}

// The text may end anywhere, and may not be JSON at all.
TEST(json_slices, TextThatEndsEarlyHasNoParts)
{
    const std::string whole = R"({"a":"\"","items":[{"k":[1]},"x\\"],"b":2})";
    const std::size_t arrayEnd = whole.find("],\"b\"") + 1;
    for (std::size_t size = 0; size < arrayEnd; ++size)
        CHECK_FALSE(sliceArray(whole.substr(0, size), "items").has_value());
    for (const std::string text :
         { "", "[]", "{", "{}", "{\"items\"}", "{\"items\":]", "\"items\"" })
        CHECK_FALSE_TEXT(sliceArray(text, "items").has_value(), text.c_str());
}
