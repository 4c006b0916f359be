#include "oriolehold/wire/envelope.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;

namespace {

core::configuration_content contentWithKeys(std::uint8_t signingKey)
{
    core::configuration_content content;
    content.keys = { { 1, { 1, 2, 3 } }, { 2, { 4, 5, 6 } } };
    content.signingKey = signingKey;
    return content;
}

wire::message handoverExample()
{
    core::handover_message value;
    value.step = core::handover_step::commit;
    value.id = 77;
    value.from = core::incarnation { 9 };
    value.feed = { { 0x7f000001, 5683 },
                   core::service_id { 3 },
                   { 1, 2, 3 },
                   "stock",
                   { "stand=4", "lang=th" },
                   12 };
    return value;
}

} // namespace

TEST_GROUP(envelope)
{
    wire::envelope_codec codec { contentWithKeys(1) };
};

TEST(envelope, EveryMessageRoundTrips)
{
    core::agent_report report;
    report.upstream = core::upstream_id { 7 };
    report.expectedWait = core::duration { 1234 };
    report.generation = 55;
    const std::array<wire::message, 5> messages {
        wire::forward_message {
                { 1, 2 }, core::service_id { 3 }, 4, { 5, 6 }, core::duration { 7 } },
        wire::deliver_message { { 1, 2 }, core::service_id { 3 }, report, { 7 } },
        wire::probe_message { 9 },
        wire::probe_reply_message { report },
        handoverExample(),
    };
    for (const wire::message &message : messages)
        CHECK_TRUE(codec.decode(codec.encode(message)) == message);
}

TEST(envelope, EveryFlippedByteIsRejected)
{
    core::byte_vector datagram = codec.encode(handoverExample());
    for (std::uint8_t &byte : datagram) {
        byte ^= 0x40;
        CHECK_FALSE(codec.decode(datagram).has_value());
        byte ^= 0x40;
    }
}

TEST(envelope, EveryTruncationIsRejected)
{
    const core::byte_vector datagram = codec.encode(handoverExample());
    for (std::size_t size = 0; size < datagram.size(); ++size)
        CHECK_FALSE(codec.decode(core::byte_view(datagram).first(size)).has_value());
}

TEST(envelope, KeyRotationAcceptsBothKeysWhileBothArePublished)
{
    const wire::envelope_codec rotated { contentWithKeys(2) };
    CHECK_TRUE(codec.decode(rotated.encode(handoverExample())).has_value());
    CHECK_TRUE(rotated.decode(codec.encode(handoverExample())).has_value());
}

TEST(envelope, OversizedMessageIsNotEncoded)
{
    wire::forward_message forward;
    forward.packet.resize(wire::maxEnvelopeSize);
    CHECK_TRUE(codec.encode(forward).empty());
}

// Guards against bytes or stream state left over from the previous message.
TEST(envelope, ReusedVectorHoldsOnlyTheLatestMessage)
{
    core::byte_vector datagram;
    codec.encode(handoverExample(), datagram);
    CHECK_FALSE(codec.decode(core::byte_view(datagram).first(datagram.size() / 2)).has_value());
    codec.encode(wire::probe_message { 9 }, datagram);
    CHECK_TRUE(datagram == codec.encode(wire::probe_message { 9 }));
    CHECK_TRUE(codec.decode(datagram) == wire::message { wire::probe_message { 9 } });
}
