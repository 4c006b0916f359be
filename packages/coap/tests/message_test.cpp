#include "oriolehold/coap/message.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::coap;

TEST_GROUP(message) {};

TEST(message, RoundTripKeepsHeaderOptionsAndPayload)
{
    const std::array<std::uint8_t, 2> token { 0xab, 0xcd };
    message_builder builder(message_type::confirmable, message_code::post, 0x1234, token);
    builder.option(option_number::uriPath, "kits")
            .option(option_number::uriPath, "orders")
            .option(option_number::uriQuery, "deadline=250")
            .block2({ 5, true, 6 })
            .payload("two kits");
    const byte_vector bytes = builder.toVector();

    const auto parsed = message_view::parse(bytes);

    CHECK_TRUE(parsed.has_value());
    CHECK_EQUAL(0x1234, parsed->messageId());
    CHECK_TRUE(parsed->isRequest());
    CHECK_TRUE(parsed->hasPath("kits/orders"));
    CHECK_FALSE(parsed->hasPath("kits"));
    CHECK_FALSE(parsed->hasPath("kits/orders/1"));
    CHECK_TRUE(parsed->query("deadline") == "250");
    CHECK_TRUE(parsed->block2() == (block_option { 5, true, 6 }));
    CHECK_TRUE(asText(parsed->payload()) == "two kits");
}

TEST(message, EveryTruncationIsRejectedOrParsedWithoutReadingPastTheEnd)
{
    const byte_vector bytes = message_builder(message_type::confirmable, message_code::get, 7,
                                              std::array<std::uint8_t, 4> { 1, 2, 3, 4 })
                                      .option(option_number::uriPath, "stock")
                                      .option(option_number::echo, std::string(34, 'e'))
                                      .payload("x")
                                      .toVector();
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        // A copy of exact size lets the address sanitizer detect any read past the end.
        const byte_vector prefix(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size));
        message_view::parse(prefix);
    }
    CHECK_TRUE(message_view::parse(bytes).has_value());
}

TEST(message, ParseReportsTheReasonOfARejection)
{
    parse_error error = parse_error::none;
    CHECK_FALSE(message_view::parse(std::array<std::uint8_t, 3> { 0x40, 1, 0 }, &error));
    CHECK_TRUE(error == parse_error::truncated);
    CHECK_FALSE(message_view::parse(std::array<std::uint8_t, 4> { 0x80, 1, 0, 0 }, &error));
    CHECK_TRUE(error == parse_error::badVersion);
    CHECK_FALSE(message_view::parse(std::array<std::uint8_t, 4> { 0x49, 1, 0, 0 }, &error));
    CHECK_TRUE(error == parse_error::badTokenLength);
    CHECK_FALSE(message_view::parse(std::array<std::uint8_t, 5> { 0x40, 0, 0, 0, 1 }, &error));
    CHECK_TRUE(error == parse_error::badEmptyMessage);
    CHECK_FALSE(message_view::parse(std::array<std::uint8_t, 5> { 0x40, 1, 0, 0, 0xff }, &error));
    CHECK_TRUE(error == parse_error::emptyPayload);
    CHECK_FALSE(message_view::parse(byte_vector(maxMessageSize + 1, 0x40), &error));
    CHECK_TRUE(error == parse_error::oversized);
}

TEST(message, BuilderRejectsOptionsOutOfOrderAndOverflow)
{
    message_builder unordered(message_type::confirmable, message_code::get, 1);
    unordered.option(option_number::uriQuery, "a=b").option(option_number::uriPath, "late");
    CHECK_FALSE(unordered.ok());

    message_builder oversized(message_type::confirmable, message_code::get, 1);
    oversized.payload(byte_vector(maxMessageSize, 1));
    CHECK_FALSE(oversized.ok());
    CHECK_TRUE(oversized.bytes().empty());
}

TEST(message, UintOptionUsesNoLeadingZeros)
{
    const byte_vector bytes =
            message_builder(message_type::nonConfirmable, message_code::content, 1)
                    .uintOption(option_number::observe, 0)
                    .uintOption(option_number::maxAge, 300)
                    .toVector();
    const auto parsed = message_view::parse(bytes);
    CHECK_EQUAL(0u, parsed->option(option_number::observe)->size());
    CHECK_EQUAL(0u, *parsed->uintOption(option_number::observe));
    CHECK_EQUAL(300u, *parsed->uintOption(option_number::maxAge));
}
