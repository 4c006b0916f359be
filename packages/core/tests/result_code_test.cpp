#include "oriolehold/core/result_code.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

using namespace oriolehold::core;

TEST_GROUP(result_code) {};

TEST(result_code, TableIsSortedByNumber)
{
    CHECK_TRUE(std::ranges::is_sorted(resultCodes(), {}, &result_code_info::code));
}

TEST(result_code, EveryCodeIsDocumentedWithItsName)
{
    std::ifstream file(ORIOLEHOLD_SOURCE_DIR "/docs/result-codes.md");
    std::stringstream text;
    text << file.rdbuf();
    for (const result_code_info &item : resultCodes()) {
        const std::string row = "| " + std::to_string(toInteger(item.code)) + " | `"
                + std::string(item.name) + "` |";
        CHECK_TRUE_TEXT(text.str().find(row) != std::string::npos, row.c_str());
    }
}
