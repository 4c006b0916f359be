#include "oriolehold/runtime/log_events.h"

#include "internal/log_format.h"
#include "internal/log_rate_limit.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>
#include <vector>

// Redefines new, so it comes after all other headers.
#include <CppUTest/TestHarness.h>

using namespace oriolehold::runtime;
using namespace std::chrono_literals;

TEST_GROUP(log_events) {};

TEST(log_events, TableIsSortedByNumber)
{
    CHECK_TRUE(std::ranges::is_sorted(logEvents(), {}, &log_event_info::event));
}

TEST(log_events, DocumentationAndCodeHaveTheSameRows)
{
    std::ifstream file(ORIOLEHOLD_SOURCE_DIR "/docs/log-events.md");
    std::vector<std::string> written;
    for (std::string line; std::getline(file, line);) {
        if (line.size() > 2 && line.starts_with("| ") && std::isdigit(line[2]) != 0)
            written.push_back(line);
    }
    constexpr const char *levels[] = { "debug", "info", "warning", "error" };
    std::vector<std::string> expected;
    for (const log_event_info &item : logEvents())
        expected.push_back("| " + std::to_string(static_cast<unsigned>(item.event)) + " | `"
                           + std::string(item.name) + "` | "
                           + levels[static_cast<std::size_t>(item.level)] + " | "
                           + (item.interval > 0ms ? "yes" : "no") + " | " + std::string(item.text)
                           + " |");
    LONGS_EQUAL(expected.size(), written.size());
    for (std::size_t i = 0; i < expected.size(); ++i)
        STRCMP_EQUAL(expected[i].c_str(), written[i].c_str());
}

TEST(log_events, TextQuotesValuesThatCouldBeReadAsFields)
{
    const std::vector<log_field> fields { { "zone", "a" }, { "name", "x y=1\n" }, { "count", -3 } };
    STRCMP_EQUAL("1001 process-start zone=a name=\"x y=1\\n\" count=-3",
                 internal::formatText(info(log_event::processStart), fields).c_str());
}

TEST(log_events, JsonEscapesQuotesAndInvalidUtf8)
{
    const std::vector<log_field> fields { { "name", "\"\xff" },
                                          { "count", 18446744073709551615U } };
    STRCMP_EQUAL("\"event\":1001,\"name\":\"process-start\",\"name\":\"\\\"\\ufffd\","
                 "\"count\":18446744073709551615",
                 internal::formatJsonMembers(info(log_event::processStart), fields).c_str());
}

TEST(log_events, RateLimitAdmitsOneLinePerIntervalAndCountsTheOthers)
{
    internal::log_rate_limit limit;
    CHECK_TRUE(limit.admit(10s, 1s) == 0U);
    CHECK_FALSE(limit.admit(10s, 1s).has_value());
    CHECK_FALSE(limit.admit(10999ms, 1s).has_value());
    CHECK_TRUE(limit.admit(11s, 1s) == 2U);
    CHECK_TRUE(limit.admit(12s, 1s) == 0U);
}
