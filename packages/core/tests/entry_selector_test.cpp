#include "internal/entry_selector.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace oriolehold::core;
using namespace oriolehold::core::internal;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t entryCount = 400;

endpoint entryAt(std::uint16_t number)
{
    return { 0x0a640000u + number, 5683 };
}

} // namespace

TEST_GROUP(entry_selector)
{
    seeded_random random { 1 };
    entry_selector selector { 1s, random };
    time_point now { 1'800'000'000s };

    void setup() override
    {
        std::vector<entry_instance> entries;
        for (std::uint16_t number = 0; number < entryCount; ++number)
            entries.push_back({ entry_id { number }, "a", entryAt(number) });
        selector.configure(entries);
    }
};

// Guards against messages to dead entry instances in a large deployment, where an agent hears few
// of the others within the time-out.
TEST(entry_selector, EntryThatWasHeardLatelyIsPreferredToOneThatNeverWas)
{
    for (std::uint16_t number = 0; number < entryCount / 2; ++number)
        selector.observe(entryAt(number), now);
    now += 5s;
    for (int i = 0; i < 100; ++i)
        CHECK_TRUE(selector.choose(entryAt(entryCount - 1), now).address
                   < entryAt(entryCount / 2).address);
}

TEST(entry_selector, EntryThatIsNotSilentIsKept)
{
    selector.observe(entryAt(3), now);
    CHECK_TRUE(selector.choose(entryAt(3), now + 900ms) == entryAt(3));
    selector.observe(entryAt(4), now + 900ms);
    CHECK_FALSE(selector.choose(entryAt(3), now + 1s) == entryAt(3));
}

TEST(entry_selector, SilentEntryIsUsedWhenThereIsNoOther)
{
    selector.configure(std::vector { entry_instance { entry_id { 0 }, "a", entryAt(0) } });
    CHECK_TRUE(selector.choose(entryAt(0), now) == entryAt(0));
}
