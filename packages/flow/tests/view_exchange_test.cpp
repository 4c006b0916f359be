#include "oriolehold/flow/view_exchange.h"

#include "flow_fakes.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::flow;

namespace {

class recording_listener final : public view_listener
{
public:
    void routesChanged(const flow_configuration &configuration) override
    {
        versions.push_back(configuration.version);
    }
    void upstreamsUpdated(const upstream_list &list, base::time_point, base::time_point) override
    {
        revisions.push_back(list.revision.number);
    }

    std::vector<std::uint64_t> versions;
    std::vector<std::uint64_t> revisions;
};

flow_configuration configurationOf(std::uint64_t version)
{
    flow_configuration result;
    result.version = version;
    return result;
}

upstream_list listOf(std::uint64_t revision, std::string id, std::uint64_t era = 1)
{
    upstream_list list;
    list.revision = { era, revision };
    list.upstreams.emplace_back();
    list.upstreams.back().id = std::move(id);
    return list;
}

} // namespace

TEST_GROUP(view_exchange)
{
    fake_document_codec codec;
    recording_agent_output output;
    recording_listener listener;
    recording_agent_output otherOutput;
    recording_listener otherListener;
    view_exchange reader { codec, output, listener };
    view_exchange receiver { codec, otherOutput, otherListener };

    // Whether a page of a configuration is taken.
    bool receivePage(std::uint64_t id, std::uint16_t index, std::uint16_t count,
                     const base::byte_vector &bytes)
    {
        return receiver.receive(
                1, view_page { document_kind::configuration, id, {}, index, count, bytes },
                atMilliseconds(200));
    }
    // Delivers messages in both directions until none is left.
    void exchange(std::int64_t at)
    {
        while (!output.messages.empty() || !otherOutput.messages.empty()) {
            const auto there = std::exchange(output.messages, {});
            const auto back = std::exchange(otherOutput.messages, {});
            for (const auto &[machine, message] : there)
                receiver.receive(1, message, atMilliseconds(at));
            for (const auto &[machine, message] : back)
                reader.receive(2, message, atMilliseconds(at));
        }
    }
    void sendSummary(std::int64_t at)
    {
        receiver.receive(1, reader.summary(atMilliseconds(at)), atMilliseconds(at));
        exchange(at);
    }
};

TEST(view_exchange, ReceiverFetchesMissingDocuments)
{
    reader.applyConfiguration(configurationOf(3));
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(0), atMilliseconds(0));
    sendSummary(5);

    CHECK_EQUAL(3, receiver.configuration().version);
    CHECK_EQUAL(1, otherListener.revisions.size());
    CHECK_TRUE(receiver.complete());
}

TEST(view_exchange, ViewIsDatedByTheReadOfItsList)
{
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(0), atMilliseconds(0));
    sendSummary(400);

    CHECK_TRUE(receiver.readAt() == atMilliseconds(0) - view_exchange::transferTime);
}

TEST(view_exchange, UnchangedListIsConfirmedWithoutTransfer)
{
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(0), atMilliseconds(0));
    sendSummary(5);
    reader.applyUpstreams(listOf(11, "a"), atMilliseconds(1000), atMilliseconds(1000));
    receiver.receive(1, reader.summary(atMilliseconds(1005)), atMilliseconds(1005));

    CHECK_EQUAL(0, otherOutput.messages.size());
    CHECK_TRUE(receiver.readAt() == atMilliseconds(1000) - view_exchange::transferTime);
}

// Guards against configurations that are in force late: a reader that receives nothing answers no
// request, and its summaries must not postpone the reads of others meanwhile.
TEST(view_exchange, ListIsNotConfirmedBeforeTheConfigurationOfItsReaderArrives)
{
    reader.applyConfiguration(configurationOf(3));
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(0), atMilliseconds(0));
    sendSummary(5);
    reader.applyConfiguration(configurationOf(4));
    reader.applyUpstreams(listOf(11, "a"), atMilliseconds(1000), atMilliseconds(1000));
    CHECK_FALSE(receiver.receive(1, reader.summary(atMilliseconds(1005)), atMilliseconds(1005)));
    CHECK_TRUE(receiver.readAt() == atMilliseconds(0) - view_exchange::transferTime);

    exchange(1010);
    CHECK_EQUAL(4, receiver.configuration().version);
    CHECK_EQUAL(11, receiver.upstreams().revision.number);
    CHECK_TRUE(receiver.readAt() == atMilliseconds(1000) - view_exchange::transferTime);
}

// The configuration may arrive from another process after a newer list.
TEST(view_exchange, LateConfigurationDoesNotConfirmAnotherList)
{
    reader.applyConfiguration(configurationOf(3));
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(0), atMilliseconds(0));
    sendSummary(5);
    reader.applyConfiguration(configurationOf(4));
    reader.applyUpstreams(listOf(11, "a"), atMilliseconds(1000), atMilliseconds(1000));
    receiver.receive(1, reader.summary(atMilliseconds(1005)), atMilliseconds(1005));
    receiver.applyUpstreams(listOf(12, "b"), atMilliseconds(1006), atMilliseconds(1006));
    exchange(1010);

    CHECK_EQUAL(4, receiver.configuration().version);
    CHECK_EQUAL(12, receiver.upstreams().revision.number);
    CHECK_TRUE(receiver.readAt() == atMilliseconds(1006));
}

// Guards against warm-ups that never end for a process that gets summaries only: their remaining
// times count from the read.
TEST(view_exchange, ConfirmedListHasShorterWarmUps)
{
    upstream_list list = listOf(10, "a");
    list.upstreams.back().warmUpLeft = std::chrono::milliseconds { 1500 };
    reader.applyUpstreams(list, atMilliseconds(0), atMilliseconds(0));
    sendSummary(5);
    for (const std::int64_t at : { 1000, 2000 }) {
        list.revision.number += 1;
        reader.applyUpstreams(list, atMilliseconds(at), atMilliseconds(at));
        sendSummary(at);
        CHECK_EQUAL(std::max<std::int64_t>(1500 - at, 0),
                    receiver.upstreams().upstreams.back().warmUpLeft.count());
    }
}

// A process that was cut off must not replace newer content by its own.
TEST(view_exchange, OlderContentIsIgnored)
{
    reader.applyConfiguration(configurationOf(3));
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(0), atMilliseconds(0));
    receiver.applyConfiguration(configurationOf(4));
    receiver.applyUpstreams(listOf(12, "b"), atMilliseconds(100), atMilliseconds(100));
    sendSummary(105);

    CHECK_EQUAL(4, receiver.configuration().version);
    CHECK_EQUAL(1, otherListener.revisions.size());
    CHECK_FALSE(receivePage(3, 0, 1, codec.encode(configurationOf(3))));
}

// The revisions of a restored store begin again at lower ones; an instance that refuses its lists
// keeps entries of upstreams that drain or have left.
TEST(view_exchange, ListOfARestoredStoreReplacesTheFormerOne)
{
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(0), atMilliseconds(0));
    sendSummary(5);
    reader.applyUpstreams(listOf(4, "b", 2), atMilliseconds(1000), atMilliseconds(1000));
    sendSummary(1005);

    CHECK_EQUAL(2, listener.revisions.size());
    CHECK_EQUAL(2, otherListener.revisions.size());
    CHECK_EQUAL(4, otherListener.revisions.back());
}

// The summary of a restored store with unchanged content confirms the view like any other.
TEST(view_exchange, SummaryOfARestoredStoreConfirmsTheSameContent)
{
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(0), atMilliseconds(0));
    sendSummary(5);
    reader.applyUpstreams(listOf(4, "a", 2), atMilliseconds(1000), atMilliseconds(1000));
    sendSummary(1005);

    CHECK_TRUE(receiver.readAt() == atMilliseconds(1000) - view_exchange::transferTime);
}

// An instance that was cut off may not know of the restore yet. Its content is older, although its
// revision is higher.
TEST(view_exchange, ListFromBeforeARestoreIsIgnored)
{
    receiver.applyUpstreams(listOf(4, "b", 2), atMilliseconds(0), atMilliseconds(0));
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(1000), atMilliseconds(1000));
    sendSummary(1005);

    CHECK_EQUAL(1, otherListener.revisions.size());
}

TEST(view_exchange, PagesOfTwoDocumentsAreNotMixed)
{
    base::byte_vector bytes = codec.encode(configurationOf(9));
    const base::byte_vector first(bytes.begin(), bytes.begin() + 2);
    const base::byte_vector second(bytes.begin() + 2, bytes.end());

    CHECK_FALSE(receivePage(9, 0, 2, first));
    CHECK_FALSE(receivePage(8, 1, 2, second));
    CHECK_EQUAL(0, receiver.configuration().version);
    receivePage(9, 0, 2, first);
    CHECK_TRUE(receivePage(9, 1, 2, second));
}

// The content of two lists may be the same before and after a restore of the store. A mixture of
// their pages would have a revision that does not exist.
TEST(view_exchange, PagesOfTheSameContentAtTwoRevisionsAreNotMixed)
{
    const auto pageId = [this](const upstream_list &list, std::int64_t at) {
        reader.applyUpstreams(list, atMilliseconds(at), atMilliseconds(at));
        reader.receive(2, view_request { false, true }, atMilliseconds(at));
        return output.sent<view_page>().back().id;
    };

    CHECK_TRUE(pageId(listOf(10, "a"), 0) != pageId(listOf(4, "a", 2), 1000));
}

TEST(view_exchange, PageOutsideItsDocumentIsIgnored)
{
    CHECK_FALSE(receivePage(9, 2, 2, { 1 }));
    CHECK_FALSE(receivePage(9, 0, 0, { 1 }));
}

// The difference of the present time and such an age overflows.
TEST(view_exchange, ContentWithAnImplausibleAgeIsIgnored)
{
    reader.applyConfiguration(configurationOf(3));
    reader.applyUpstreams(listOf(10, "a"), atMilliseconds(0), atMilliseconds(0));
    for (const base::duration age :
         { base::duration::min(), base::duration { -1 }, base::duration::max() }) {
        view_summary summary = reader.summary(atMilliseconds(5));
        summary.age = age;
        CHECK_FALSE(receiver.receive(1, summary, atMilliseconds(5)));
        CHECK_EQUAL(0, otherOutput.messages.size());
        CHECK_FALSE(receiver.receive(
                1, view_page { document_kind::upstreams, 1, age, 0, 1, base::byte_vector(4, 1) },
                atMilliseconds(5)));
    }
}

// Guards against instances that keep a former configuration although they are not disrupted: an
// agent on a lossy link got the list but not the configuration, and confirmed the views of all.
TEST(view_exchange, ListWithoutItsConfigurationAnnouncesTheMissingVersion)
{
    reader.applyConfiguration(configurationOf(8));
    reader.applyUpstreams(listOf(1, "a"), atMilliseconds(0), atMilliseconds(0));
    sendSummary(10);
    reader.applyConfiguration(configurationOf(9));
    reader.applyUpstreams(listOf(2, "b"), atMilliseconds(500), atMilliseconds(500));
    receiver.receive(1, reader.summary(atMilliseconds(510)), atMilliseconds(510));
    reader.receive(2, otherOutput.messages.back().second, atMilliseconds(511));
    const auto pages = std::exchange(output.messages, {});
    const auto receivePages = [&](document_kind kind, std::int64_t at) {
        return std::ranges::any_of(pages, [&](const auto &item) {
            const auto &page = std::get<view_page>(item.second);
            return page.kind == kind && receiver.receive(1, page, atMilliseconds(at));
        });
    };

    // The configuration may still be on its way.
    CHECK_FALSE(receivePages(document_kind::upstreams, 520));
    CHECK_EQUAL(2, receiver.upstreams().revision.number);
    CHECK_EQUAL(8, receiver.configuration().version);
    CHECK_EQUAL(9, receiver.summary(atMilliseconds(520)).configurationVersion);
    CHECK_TRUE(receivePages(document_kind::configuration, 530));
    CHECK_EQUAL(9, receiver.configuration().version);
}

// A list must not wait for a configuration that does not arrive.
TEST(view_exchange, ListIsPassedOnWhenItsConfigurationIsLost)
{
    receiver.receive(1, view_summary { 9, { 1, 5 }, 77, {} }, atMilliseconds(100));
    reader.applyUpstreams(listOf(6, "b"), atMilliseconds(500), atMilliseconds(500));
    reader.receive(2, view_request { false, true }, atMilliseconds(501));
    const auto pages = std::exchange(output.messages, {});

    CHECK_TRUE(receiver.receive(1, pages.front().second, atMilliseconds(510)));
    CHECK_EQUAL(9, receiver.summary(atMilliseconds(510)).configurationVersion);
}

// The version that is announced is not here. Sending the former one, of up to 1 MB, to each process
// that asks would fill the link; a process that has none still gets it.
TEST(view_exchange, FormerConfigurationIsSentSeldom)
{
    receiver.applyConfiguration(configurationOf(8));
    receiver.receive(1, view_summary { 9, { 1, 5 }, 77, {} }, atMilliseconds(100));
    otherOutput.messages.clear();
    for (std::int64_t at = 500; at < 1500; at += 50)
        receiver.receive(2, view_request { true, false }, atMilliseconds(at));

    CHECK_EQUAL(4, otherOutput.sent<view_page>().size());
}

// Guards against versions that are announced for ever: a store that was restored may lack one that
// was announced before.
TEST(view_exchange, VersionThatTheRestoredStoreLostIsNotAwaited)
{
    receiver.receive(1, view_summary { 9, { 1, 5 }, 77, {} }, atMilliseconds(100));
    CHECK_TRUE(receiver.lacksConfiguration(atMilliseconds(1000)));
    receiver.applyConfiguration(configurationOf(8));
    receiver.applyUpstreams(listOf(1, "a", 2), atMilliseconds(1100), atMilliseconds(1100));

    CHECK_EQUAL(8, receiver.summary(atMilliseconds(1110)).configurationVersion);
    CHECK_FALSE(receiver.lacksConfiguration(atMilliseconds(2000)));
}

// The same where the process learns of the new era by a summary.
TEST(view_exchange, SummaryOfANewEraEndsTheWaitForALostVersion)
{
    receiver.receive(1, view_summary { 9, { 1, 5 }, 77, {} }, atMilliseconds(100));
    receiver.applyConfiguration(configurationOf(8));
    receiver.receive(1, view_summary { 8, { 2, 3 }, 78, {} }, atMilliseconds(1000));

    CHECK_FALSE(receiver.lacksConfiguration(atMilliseconds(2000)));
}
