#include "oriolehold/core/diagnostic.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace oriolehold;
using namespace oriolehold::core;
using coap::message_code;
using coap::message_type;
using coap::option_number;

TEST_GROUP(diagnostic)
{
    const std::array<std::uint8_t, 2> token { 0xab, 0xcd };

    coap::message_builder request(message_type type)
    {
        return { type, message_code::post, 0x1234, token };
    }
};

TEST(diagnostic, ConfirmableRequestGetsPiggybackedResponse)
{
    const coap::message_builder sent = request(message_type::confirmable);
    const coap::message_builder built =
            buildDiagnostic(*coap::message_view::parse(sent.bytes()), result_code::noUpstream,
                            { .maxAge = 1, .messageId = 0x9999 });
    const auto response = coap::message_view::parse(built.bytes());

    CHECK_TRUE(response->type() == message_type::acknowledgement);
    CHECK_EQUAL(0x1234, response->messageId());
    CHECK_TRUE(std::ranges::equal(response->token(), token));
    CHECK_TRUE(response->code() == message_code::serviceUnavailable);
    CHECK_TRUE(response->uintOption(option_number::maxAge) == 1u);
    CHECK_TRUE(coap::asText(response->payload())
               == "2006 no-upstream No upstream of the service accepts work.");
}

TEST(diagnostic, NonConfirmableRequestGetsNonConfirmableResponseWithEcho)
{
    const std::array<std::uint8_t, 3> echo { 1, 2, 3 };
    const coap::message_builder sent = request(message_type::nonConfirmable);
    const coap::message_builder built =
            buildDiagnostic(*coap::message_view::parse(sent.bytes()), result_code::challenge,
                            { .echo = echo, .messageId = 0x9999 });
    const auto response = coap::message_view::parse(built.bytes());

    CHECK_TRUE(response->type() == message_type::nonConfirmable);
    CHECK_EQUAL(0x9999, response->messageId());
    CHECK_TRUE(std::ranges::equal(*response->option(option_number::echo), echo));
}

TEST(diagnostic, ResponseCodeFollowsTheOutcome)
{
    CHECK_TRUE(responseCode(result_code::queueFull) == message_code::serviceUnavailable);
    CHECK_TRUE(responseCode(result_code::tokenInvalid) == message_code::gatewayTimeout);
    CHECK_TRUE(responseCode(result_code::challenge) == message_code::unauthorized);
    CHECK_TRUE(responseCode(result_code::badRequest) == message_code::badRequest);
    CHECK_TRUE(responseCode(result_code::noSuchClass) == message_code::notFound);
}

TEST(diagnostic, TextIsOmittedBeyondTheSizeLimit)
{
    const coap::message_builder sent = request(message_type::confirmable);
    const coap::message_builder built = buildDiagnostic(*coap::message_view::parse(sent.bytes()),
                                                        result_code::challenge, { .maxSize = 40 });
    const auto response = coap::message_view::parse(built.bytes());
    CHECK_TRUE(coap::asText(response->payload()) == "1001 challenge");
}

TEST(diagnostic, ParsesEveryPayloadBackToItsCode)
{
    for (const result_code_info &item : resultCodes())
        CHECK_TRUE(parseDiagnostic(coap::asBytes(diagnosticText(item.code))) == item.code);
    CHECK_TRUE(parseDiagnostic(coap::asBytes("1001 challenge")) == result_code::challenge);
    for (const std::string_view text : { "", "1001", "1001 challenged", "9999 x", "text" })
        CHECK_FALSE(parseDiagnostic(coap::asBytes(text)).has_value());
}
