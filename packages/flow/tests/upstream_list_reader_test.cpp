#include "oriolehold/flow/upstream_list_reader.h"

#include "flow_fakes.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t entriesPerPage = 3;

// A store in memory that keeps all changes.
class fake_entry_source final : public entry_source
{
public:
    std::map<std::string, published_entry> entries;
    std::vector<published_entry> history; // oldest first
    store_revision revision { 1, 1 };
    std::uint64_t oldestKnown = 0; // changes up to this revision are not known any more
    base::time_point now = atMilliseconds(0);
    base::duration pageTime { 1ms };
    int pages = 0;
    int watches = 0;
    bool failsPages = false;
    std::size_t maxChanges = 1000; // in one answer; the rest follows after its revision
    std::size_t maxAnswer = 0;     // bytes; larger answers cannot be read. 0: no limit
    std::function<void()> afterPage = [] {};

    void put(const std::string &id, std::size_t size = 200, bool usable = true)
    {
        published_entry entry;
        entry.id = id;
        entry.revision = ++revision.number;
        entry.size = size;
        if (usable) {
            entry.record.emplace().id = id;
            entry.record->warmUpLeft = 400ms;
        } else
            entry.fault = "slots: expected an integer from 1 to 1024";
        entries[id] = entry;
        history.push_back(entry);
    }

    void remove(const std::string &id)
    {
        entries.erase(id);
        published_entry entry;
        entry.id = id;
        entry.revision = ++revision.number;
        entry.removed = true;
        history.push_back(entry);
    }

    boost::leaf::result<entry_page> readPage(const std::string &position) override
    {
        ++pages;
        now += pageTime;
        if (failsPages)
            return boost::leaf::new_error(read_failure::unreachable);
        entry_page page { revision, {}, {} };
        for (auto item = entries.upper_bound(position); item != entries.end(); ++item) {
            if (page.entries.size() == entriesPerPage) {
                page.next = page.entries.back().id;
                break;
            }
            page.entries.push_back(item->second);
        }
        afterPage();
        return page;
    }

    boost::leaf::result<std::optional<entry_changes>> readChanges(std::uint64_t after) override
    {
        ++watches;
        if (after < oldestKnown)
            return std::optional<entry_changes>();
        entry_changes changes { revision, {} };
        std::ranges::copy_if(history, std::back_inserter(changes.entries),
                             [after](const auto &item) { return item.revision > after; });
        if (changes.entries.size() > maxChanges) {
            changes.entries.resize(maxChanges);
            changes.revision.number = changes.entries.back().revision;
        }
        for (const published_entry &entry : changes.entries)
            changes.size += entry.size;
        if (maxAnswer > 0 && changes.size > maxAnswer)
            return boost::leaf::new_error(read_failure::unreachable);
        return std::optional(changes);
    }
};

class recording_rejections final : public rejection_listener
{
public:
    void entryRejected(const published_entry &entry) override { ids.push_back(entry.id); }
    std::vector<std::string> ids;
};

} // namespace

TEST_GROUP(upstream_list_reader)
{
    fake_entry_source source;
    recording_rejections rejections;
    upstream_list_reader reader { source, rejections, [this] { return source.now; } };

    upstream_list lastList; // that was read without a failure

    // IDs of the list, separated by spaces, or the failure of the read.
    std::string read()
    {
        std::string text;
        boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void> {
                    BOOST_LEAF_AUTO(list, reader.read());
                    for (const upstream_record &record : list.upstreams)
                        text += (text.empty() ? "" : " ") + record.id;
                    lastList = list;
                    return {};
                },
                [&](read_failure failure) { text = toString(failure); }, [&] { text = "unknown"; });
        return text;
    }

    void putAll(std::initializer_list<const char *> ids)
    {
        for (const char *id : ids)
            source.put(id);
    }
    // Reads a list with the upstream "a" that is followed by watches from then on.
    void followList()
    {
        source.put("a");
        putLargeRejectedEntries(2);
        read();
    }
    void putLargeRejectedEntries(int count)
    {
        for (int i = 0; i < count; ++i)
            source.put("odd-" + std::to_string(i), upstream_list_reader::maxRepeatedRejections,
                       false);
    }
};

TEST(upstream_list_reader, ReadsAllPages)
{
    putAll({ "a", "b", "c", "d", "e", "f", "g" });

    STRCMP_EQUAL("a b c d e f g", read().c_str());
    CHECK_EQUAL(3, source.pages);
}

// A watch may miss changes, so it is used only where a full read is too expensive.
TEST(upstream_list_reader, ReadsInFullWhileRejectedEntriesAreSmall)
{
    source.put("a");
    source.put("odd", 100, false);
    read();
    source.put("b");

    STRCMP_EQUAL("a b", read().c_str());
    CHECK_EQUAL(0, source.watches);
}

// Hundreds of entries of the largest size would take all the time of the reader.
TEST(upstream_list_reader, LargeRejectedEntriesAreNotReadAgain)
{
    source.put("a");
    putLargeRejectedEntries(500);
    STRCMP_EQUAL("a", read().c_str());
    const int pages = source.pages;
    std::string expected = "a";
    for (const std::string id : { "b", "c", "d", "e", "f", "g", "h", "i" }) {
        source.now += 1s;
        source.put(id);
        expected += " " + id;
        STRCMP_EQUAL(expected.c_str(), read().c_str());
    }
    CHECK_EQUAL(pages, source.pages);
}

TEST(upstream_list_reader, FollowsChangesOfAllKindsBesideLargeRejectedEntries)
{
    source.put("a");
    source.put("b");
    putLargeRejectedEntries(2);
    STRCMP_EQUAL("a b", read().c_str());
    source.remove("a");
    source.put("c");
    source.put("odd-0");
    source.put("b", 200, false);

    STRCMP_EQUAL("c odd-0", read().c_str());
}

// Guards against a list that is taken for the present one although the store has cut its answer:
// a draining upstream got new flows for seconds.
TEST(upstream_list_reader, CutAnswerIsContinuedBeforeTheListCounts)
{
    source.put("a");
    source.put("x", upstream_list_reader::maxRepeatedRejections + 1, false);
    read();
    source.maxChanges = 1;
    for (int i = 0; i < 5; ++i)
        source.put("y" + std::to_string(i), upstream_list_reader::largeAnswer, false);
    source.put("b");

    STRCMP_EQUAL("a b", read().c_str());
}

// Guards against a list that stays old because the answer with its changes is too large to read,
// until the store discards its history.
TEST(upstream_list_reader, ChangesThatCannotBeReadAreFollowedByAFullRead)
{
    source.put("a");
    source.put("x", upstream_list_reader::maxRepeatedRejections + 1, false);
    read();
    source.maxAnswer = upstream_list_reader::largeAnswer;
    source.put("y", source.maxAnswer + 1, false);
    source.put("b");

    STRCMP_EQUAL("a b", read().c_str());
}

// An entry that is read by pages tells its remaining warm-up once; later lists must not extend it.
TEST(upstream_list_reader, WarmUpTimeOfAFollowedEntryElapses)
{
    followList();
    source.now += 150ms;

    STRCMP_EQUAL("a", read().c_str());
    CHECK_EQUAL(250, lastList.upstreams.front().warmUpLeft.count());
}

// A watch of a store that dropped its history may have reported nothing for some time.
TEST(upstream_list_reader, ListThatIsFollowedIsAlsoReadInFullAtTimes)
{
    followList();
    source.entries.erase("a"); // without a change in the history
    source.now += upstream_list_reader::minFullReadInterval;

    STRCMP_EQUAL("", read().c_str());
}

TEST(upstream_list_reader, LostHistoryIsFollowedByAFullRead)
{
    followList();
    source.put("b");
    source.oldestKnown = source.revision.number;

    STRCMP_EQUAL("a b", read().c_str());
}

TEST(upstream_list_reader, RestoredStoreIsReadInFull)
{
    followList();
    source.entries.erase("a");
    source.revision.era = 2;

    STRCMP_EQUAL("", read().c_str());
}

// The configuration must be read between the parts of a long list.
TEST(upstream_list_reader, LongReadIsContinuedByTheNextCall)
{
    putAll({ "a", "b", "c", "d", "e", "f", "g" });
    source.pageTime = upstream_list_reader::maxPartTime;

    STRCMP_EQUAL("incomplete", read().c_str());
    STRCMP_EQUAL("incomplete", read().c_str());
    STRCMP_EQUAL("a b c d e f g", read().c_str());
    CHECK_EQUAL(3, source.pages);
}

// The first pages are old when the last one is read.
TEST(upstream_list_reader, LongReadIncludesChangesOfThePagesThatWereRead)
{
    putAll({ "a", "b", "c", "d", "e" });
    source.pageTime = upstream_list_reader::maxPartTime;
    STRCMP_EQUAL("incomplete", read().c_str());
    source.remove("a");
    source.put("bb");

    STRCMP_EQUAL("b bb c d e", read().c_str());
}

TEST(upstream_list_reader, LongReadStartsAgainWhenChangesAreLost)
{
    putAll({ "a", "b", "c", "d", "e" });
    source.pageTime = upstream_list_reader::maxPartTime;
    STRCMP_EQUAL("incomplete", read().c_str());
    source.remove("a");
    source.oldestKnown = source.revision.number;

    STRCMP_EQUAL("incomplete", read().c_str());
    STRCMP_EQUAL("b c d e", read().c_str());
}

TEST(upstream_list_reader, FailureOfAPageIsReportedAndTheReadContinues)
{
    putAll({ "a", "b", "c", "d" });
    source.failsPages = true;
    STRCMP_EQUAL("unreachable", read().c_str());
    source.failsPages = false;

    STRCMP_EQUAL("a b c d", read().c_str());
}

// Pages from before and after a restore of the store do not form a list.
TEST(upstream_list_reader, PagesOfTwoErasAreNotUsed)
{
    putAll({ "a", "b", "c", "d" });
    source.afterPage = [this] { source.revision.era = 2; };

    STRCMP_EQUAL("restored", read().c_str());
    STRCMP_EQUAL("a b c d", read().c_str());
}

// One line a read would hide every other one in the log.
TEST(upstream_list_reader, RejectedEntryIsReportedOnceForEachChange)
{
    source.put("odd", 100, false);
    read();
    read();
    CHECK_EQUAL(1, rejections.ids.size());
    source.put("odd", 100, false);
    read();
    CHECK_EQUAL(2, rejections.ids.size());
    source.remove("odd");
    read();
    CHECK_EQUAL(0, reader.rejectedEntries());
    CHECK_EQUAL(2, reader.rejections());
}

TEST(upstream_list_reader, ManyRejectedEntriesAreReportedOverSeveralReads)
{
    constexpr std::size_t count = upstream_list_reader::maxReportsPerRead + 5;
    for (std::size_t i = 0; i < count; ++i)
        source.put("odd-" + std::to_string(i), 10, false);
    read();
    CHECK_EQUAL(upstream_list_reader::maxReportsPerRead, rejections.ids.size());
    read();
    CHECK_EQUAL(count, rejections.ids.size());
    CHECK_EQUAL(count, reader.rejectedEntries());
}

// After a restore an entry may have a revision above the store's.
TEST(upstream_list_reader, ChangeWithALowerRevisionThanItsEntryIsApplied)
{
    followList();
    source.entries.at("a").revision = 1000;
    source.revision.era = 2;
    STRCMP_EQUAL("a", read().c_str());
    source.put("a", 200, false);

    STRCMP_EQUAL("", read().c_str());
}
