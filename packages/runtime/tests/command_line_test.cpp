#include "oriolehold/runtime/command_line.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace oriolehold::runtime;

namespace {

std::optional<command_line> parse(std::vector<std::string> arguments, int &exitCode)
{
    std::vector<char *> pointers;
    pointers.reserve(arguments.size());
    for (std::string &argument : arguments)
        pointers.push_back(argument.data());
    return parseCommandLine(pointers, "oriolehold-entry", exitCode);
}

} // namespace

TEST_GROUP(command_line)
{
    int exitCode = -1;
};

TEST(command_line, ReadsAllOptions)
{
    const auto options =
            parse({ "entry", "--config", "a.json", "--check", "--log-level", "debug" }, exitCode);
    CHECK_TRUE(options.has_value());
    STRCMP_EQUAL("a.json", options->config.c_str());
    CHECK_TRUE(options->check);
    STRCMP_EQUAL("debug", options->logLevel.c_str());
}

TEST(command_line, InvalidOptionsExitWithTwo)
{
    const std::vector<std::vector<std::string>> cases {
        { "entry" },
        { "entry", "--config" },
        { "entry", "--config", "a.json", "--fast" },
        { "entry", "--config", "a.json", "--log-level", "loud" },
    };
    for (const std::vector<std::string> &arguments : cases) {
        CHECK_FALSE(parse(arguments, exitCode).has_value());
        LONGS_EQUAL(exitInvalidOptions, exitCode);
    }
}

TEST(command_line, HelpAndVersionExitWithZero)
{
    CHECK_FALSE(parse({ "entry", "--help" }, exitCode).has_value());
    LONGS_EQUAL(0, exitCode);
    exitCode = -1;
    CHECK_FALSE(parse({ "entry", "--version" }, exitCode).has_value());
    LONGS_EQUAL(0, exitCode);
}
