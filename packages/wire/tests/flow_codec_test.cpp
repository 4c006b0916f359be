#include "oriolehold/wire/flow_codec.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace std::chrono_literals;

namespace {

const flow::flow_key key { { 0x64400007, 40001 }, { 0xc6120001, 443 } };

std::vector<flow::peer_message> examples()
{
    return { flow::entry_hello { 7, "zone-a", 4 },
             flow::load_report { 8, 3, 2500, 120, 13ms, false },
             flow::flow_claim { { key, key } },
             flow::flow_denial { key, 0x123456, true },
             flow::view_summary { 5, { 2, 6 }, 7, 250ms },
             flow::view_request { true, false },
             flow::view_page { flow::document_kind::upstreams, 9, 1s, 1, 3,
                               base::byte_vector(1000, 0x5a) },
             flow::probe_request { 4, { 1, 2, 3 }, base::byte_vector(150, 0x5a) },
             flow::probe_result { 4, key, 2, { 1, 3 } },
             flow::service_announcement { 0x123456 },
             flow::upstream_notice { 1700000000000, 400ms, 7.5, { 2, 44 }, true },
             flow::capacity_report { 12, true, 1500, { 40, 65000, 90 } } };
}

// Of a message without the expected waits, which the previous release sends.
constexpr std::size_t formerCapacitySize = 1 + 1 + 4 + 2 + 1 + 4;

base::byte_vector encoded(const flow::peer_message &message)
{
    base::byte_vector datagram;
    wire::encodeFlowMessage(message, datagram);
    return datagram;
}

flow::flow_configuration configurationExample()
{
    flow::flow_configuration configuration;
    configuration.version = 12;
    configuration.routes = { { key.service, { { "orders", 90 }, { "catalog", 10 } }, 2, 100ms, 8s },
                             { { 1, 2 }, { { "catalog", 1 } } } };
    configuration.idleTimeout = 9s;
    configuration.services = { "orders", "catalog", "orders-next" };
    configuration.warmUps = { { "orders", 2s, 7.5 } };
    return configuration;
}

flow::upstream_list listExample()
{
    flow::upstream_list list;
    list.revision = { 2, 44 };
    list.upstreams = { { "i-1",
                         "orders",
                         { 3, 4 },
                         "zone-b",
                         2,
                         flow::upstream_phase::draining,
                         400ms,
                         1700000000000 } };
    list.evacuation = { { 2, 40 }, { "zone-b" } };
    return list;
}

} // namespace

TEST_GROUP(flow_codec)
{
    wire::flow_document_codec documents;
};

TEST(flow_codec, EveryMessageRoundTrips)
{
    for (const flow::peer_message &message : examples()) {
        const auto read = wire::decodeFlowMessage(encoded(message));

        CHECK_TRUE(read.has_value());
        CHECK_TRUE(*read == message);
    }
}

TEST(flow_codec, DocumentsRoundTrip)
{
    const auto configuration =
            documents.decodeConfiguration(documents.encode(configurationExample()));
    const auto list = documents.decodeUpstreams(documents.encode(listExample()));

    CHECK_TRUE(configuration == configurationExample());
    CHECK_TRUE(list == listExample());
}

// A truncated datagram must not decode as a shorter message.
TEST(flow_codec, TruncatedMessagesAreRejected)
{
    for (const flow::peer_message &message : examples()) {
        const base::byte_vector whole = encoded(message);
        const std::size_t former =
                std::holds_alternative<flow::capacity_report>(message) ? formerCapacitySize : 0;
        for (std::size_t size = 0; size < whole.size(); ++size)
            CHECK_EQUAL(size == former && size > 0,
                        wire::decodeFlowMessage(base::byte_view(whole).first(size)).has_value());
    }
}

// Agents of the previous release report no waits, which must not count as waits of zero.
TEST(flow_codec, CapacityReportOfThePreviousReleaseHasNoWaits)
{
    const base::byte_vector whole = encoded(examples().back());
    const auto read = wire::decodeFlowMessage(base::byte_view(whole).first(formerCapacitySize));

    CHECK_TRUE(read.has_value());
    CHECK_TRUE(*read == flow::peer_message(flow::capacity_report { 12, true, 1500 }));
}

TEST(flow_codec, TruncatedDocumentsAreRejected)
{
    const base::byte_vector whole = documents.encode(configurationExample());
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(documents.decodeConfiguration(base::byte_view(whole).first(size)).has_value());
}

// During an update, processes without a newer field at the end must understand the others.
TEST(flow_codec, FieldsAfterTheKnownOnesAreIgnored)
{
    for (const flow::peer_message &message : examples()) {
        base::byte_vector longer = encoded(message);
        longer.insert(longer.end(), sizeof(std::uint64_t), 0x5a);
        const auto read = wire::decodeFlowMessage(longer);

        CHECK_TRUE(read.has_value());
        CHECK_TRUE(*read == message);
    }
}

// Processes of another release may use another layout of messages.
TEST(flow_codec, UnknownProtocolVersionIsRejected)
{
    base::byte_vector datagram = encoded(examples().front());
    ++datagram[0];

    CHECK_FALSE(wire::decodeFlowMessage(datagram).has_value());
}

// The fuzzer found that the decoder copied any byte into a bool, which is undefined behaviour.
TEST(flow_codec, FlagOtherThanZeroOrOneIsRejected)
{
    base::byte_vector datagram = encoded(flow::view_request { true, false });
    datagram.back() = 143;

    CHECK_FALSE(wire::decodeFlowMessage(datagram).has_value());
}

// A message with one corrupted byte may decode or be rejected; decoding must not throw or read past
// the end.
TEST(flow_codec, CorruptedMessagesNeitherThrowNorReadPastTheEnd)
{
    for (const flow::peer_message &message : examples()) {
        const base::byte_vector whole = encoded(message);
        for (std::size_t position = 0; position < whole.size(); ++position) {
            base::byte_vector corrupted = whole;
            corrupted[position] ^= 0xff;
            (void)wire::decodeFlowMessage(corrupted);
        }
    }
}

// A name beyond the bound of its length prefix made the rest of the list unreadable for every
// receiver, for as long as the entry with it was there.
TEST(flow_codec, ListWithANameThatIsTooLongStaysReadable)
{
    flow::upstream_list list = listExample();
    list.upstreams.push_back(list.upstreams.front());
    list.upstreams.front().service = std::string(5000, 's');

    const auto decoded = documents.decodeUpstreams(documents.encode(list));
    CHECK_TRUE(decoded.has_value());
    CHECK_EQUAL(2, decoded->upstreams.size());
    CHECK_TRUE(decoded->upstreams.back() == list.upstreams.back());
    CHECK_TRUE(decoded->revision == list.revision);
}
