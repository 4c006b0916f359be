#include "oriolehold/core/flow_token.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace oriolehold::core;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t callerAddress = 0x0a000001;
constexpr std::uint32_t issuedAt = 1'800'000'000;
const time_point issueTime { std::chrono::seconds { issuedAt } };

configuration_content contentWithKeys()
{
    configuration_content content;
    content.keys = { { 1, { 1, 2, 3 } }, { 2, { 4, 5, 6 } } };
    content.signingKey = 1;
    content.tokenLifetime = 3600s;
    return content;
}

flow_token boundToken()
{
    return { service_id { 7 }, upstream_id { 300 }, { 0x7f000001, 40000 }, incarnation { 9999 },
             issuedAt,         0x123456789abc };
}

} // namespace

TEST_GROUP(flow_token)
{
    configuration_content content = contentWithKeys();
    flow_token_codec codec { content };

    token_status openWith(const configuration_content &other, const flow_token_bytes &bytes)
    {
        return flow_token_codec(other).open(bytes, callerAddress, issueTime).status;
    }
};

TEST(flow_token, RoundTripKeepsAllFields)
{
    flow_token unbound = boundToken();
    unbound.incarnation = incarnation::unknown;
    for (const flow_token &token : { boundToken(), unbound }) {
        const token_result result =
                codec.open(codec.seal(token, callerAddress), callerAddress, issueTime);
        CHECK_TRUE(result.status == token_status::valid);
        CHECK_TRUE(result.token == token);
    }
}

TEST(flow_token, LayoutIsBigEndianInDocumentedOrder)
{
    const flow_token_bytes bytes = codec.seal(boundToken(), callerAddress);
    const std::array<std::uint8_t, 26> body { 0x11, 1,    0,    7,    1,    44,   127,  0,    0,
                                              1,    0x9c, 0x40, 0,    0,    0x27, 0x0f, 0x6b, 0x49,
                                              0xd2, 0x00, 0x12, 0x34, 0x56, 0x78, 0x9a, 0xbc };
    CHECK_TRUE(std::ranges::equal(body, byte_view(bytes).first(body.size())));
}

TEST(flow_token, HopCountIsStoredInTheFlags)
{
    for (std::uint8_t hops = 0; hops <= maxFlowHops; ++hops) {
        flow_token token = boundToken();
        token.hops = hops;
        const flow_token_bytes bytes = codec.seal(token, callerAddress);
        CHECK_EQUAL(0x11 | hops << 1, bytes[0]);
        CHECK_TRUE(codec.open(bytes, callerAddress, issueTime).token == token);
    }
}

TEST(flow_token, EveryChangedBitIsDetected)
{
    const flow_token_bytes sealed = codec.seal(boundToken(), callerAddress);
    for (std::size_t bit = 0; bit < 8 * flowTokenSize; ++bit) {
        flow_token_bytes changed = sealed;
        changed[bit / 8] = static_cast<std::uint8_t>(changed[bit / 8] ^ (1U << (bit % 8)));
        const token_result result = codec.open(changed, callerAddress, issueTime);
        CHECK_FALSE(result.status == token_status::valid);
        CHECK_TRUE(result.token == flow_token {});
    }
}

TEST(flow_token, TokenOfAnotherCallerAddressIsForged)
{
    const flow_token_bytes bytes = codec.seal(boundToken(), callerAddress);
    CHECK_TRUE(codec.open(bytes, callerAddress + 1, issueTime).status == token_status::forged);
}

TEST(flow_token, OtherSizesAreMalformed)
{
    const flow_token_bytes bytes = codec.seal(boundToken(), callerAddress);
    const byte_view view(bytes);
    CHECK_TRUE(codec.open({}, callerAddress, issueTime).status == token_status::malformed);
    CHECK_TRUE(codec.open(view.first(33), callerAddress, issueTime).status
               == token_status::malformed);
}

TEST(flow_token, ValidFromMaxClockSkewBeforeIssueUntilLifetime)
{
    const flow_token_bytes bytes = codec.seal(boundToken(), callerAddress);
    const auto statusAt = [&](std::chrono::seconds age) {
        return codec.open(bytes, callerAddress, issueTime + age).status;
    };
    CHECK_TRUE(statusAt(-6s) == token_status::expired);
    CHECK_TRUE(statusAt(-5s) == token_status::valid);
    CHECK_TRUE(statusAt(3600s) == token_status::valid);
    CHECK_TRUE(statusAt(3601s) == token_status::expired);
}

TEST(flow_token, KeyRotationKeepsTokensOfThePreviousSigningKeyValid)
{
    const flow_token_bytes bytes = codec.seal(boundToken(), callerAddress);
    configuration_content rotated = content;
    rotated.signingKey = 2;
    CHECK_TRUE(openWith(rotated, bytes) == token_status::valid);
    rotated.keys.erase(rotated.keys.begin());
    CHECK_TRUE(openWith(rotated, bytes) == token_status::unknownKey);
}
