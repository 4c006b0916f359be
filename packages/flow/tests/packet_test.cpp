#include "oriolehold/flow/packet.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::flow;

TEST_GROUP(packet) {};

TEST(packet, PackedTagUnpacksUnchanged)
{
    const packet_tag tag { packet_tag::instruction::refused, 0xabcdef, 15,
                           std::chrono::milliseconds { 150 }, std::chrono::milliseconds { 8000 } };

    CHECK_TRUE(unpackTag(pack(tag)) == tag);
}

// The newest instruction must not be read as an unknown one.
TEST(packet, EachInstructionUnpacksUnchanged)
{
    using enum packet_tag::instruction;
    for (const auto kind : { deliver, probe, absent, refused, misdirected, unanswered }) {
        const packet_tag tag { kind, 0xabcdef, 15 };
        CHECK_TRUE(unpackTag(pack(tag)) == tag);
    }
    CHECK_TRUE(unpackTag(0x70000001).kind == none);
}

// A time that exceeds its field must not change another field.
TEST(packet, LongTimesAreClampedToTheLargestValue)
{
    const packet_tag tag { packet_tag::instruction::deliver, 0, 0, std::chrono::hours { 24 },
                           std::chrono::hours { 24 } };
    const packet_tag read = unpackTag(pack(tag));

    CHECK_EQUAL(40950, read.latencyObjective.count());
    CHECK_EQUAL(409500, read.timeout.count());
    CHECK_EQUAL(0, read.value);
}

// Clients and upstreams write zero. Other unknown values must not be read as an instruction.
TEST(packet, UnknownInstructionIsNone)
{
    CHECK_TRUE(unpackTag(0).kind == packet_tag::instruction::none);
    CHECK_TRUE(unpackTag(0xf0000001).kind == packet_tag::instruction::none);
}

TEST(packet, KeyIsTheSameInBothDirections)
{
    packet_head request;
    request.source = { 1, 2 };
    request.destination = { 3, 4 };
    packet_head answer;
    answer.source = request.destination;
    answer.destination = request.source;

    CHECK_TRUE(keyOfClientPacket(request) == keyOfUpstreamPacket(answer));
}

TEST(packet, KeyTextNamesBothEndpoints)
{
    STRCMP_EQUAL("100.64.0.7:40001>198.18.0.1:443",
                 toString(flow_key { { 0x64400007, 40001 }, { 0xc6120001, 443 } }).c_str());
}
