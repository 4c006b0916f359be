#include "internal/caller_request.h"

#include <algorithm>
#include <charconv>

namespace oriolehold::core::internal {

namespace {

using coap::option_number;

constexpr std::string_view deadlineName = "deadline=";
constexpr std::chrono::milliseconds maxDeadline { 3'600'000 };

// Critical options have odd numbers; a request with an unrecognized one must be rejected (RFC 7252,
// section 5.4.1). Host, port and accepted format do not affect the handling of a request.
constexpr std::array<std::uint16_t, 6> recognizedCriticalOptions { 3, 7, 11, 15, 17, 23 };

bool isRecognized(option_number number)
{
    const auto value = static_cast<std::uint16_t>(number);
    return value % 2 == 0
            || std::ranges::find(recognizedCriticalOptions, value)
            != recognizedCriticalOptions.end();
}

std::optional<std::chrono::milliseconds> parseDeadline(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const std::chrono::milliseconds deadline { value };
    if (error != std::errc() || end != text.data() + text.size() || value == 0
        || deadline > maxDeadline)
        return std::nullopt;
    return deadline;
}

} // namespace

request_error decode(const coap::message_view &message, caller_request &request)
{
    if (message.code() == coap::message_code::get)
        request.method = request_method::get;
    else if (message.code() == coap::message_code::post)
        request.method = request_method::post;
    else
        return request_error::badMethod;

    bool allRecognized = true;
    bool deadlineValid = true;
    bool firstSegment = true;
    message.forEachOption([&](option_number number, byte_view value) {
        const std::string_view text = coap::asText(value);
        allRecognized = allRecognized && isRecognized(number);
        if (number == option_number::uriPath) {
            if (!firstSegment)
                request.path += '/';
            request.path += text;
            firstSegment = false;
        } else if (number == option_number::uriQuery && text.starts_with(deadlineName)) {
            request.deadline = parseDeadline(text.substr(deadlineName.size()));
            deadlineValid = deadlineValid && request.deadline.has_value();
        } else if (number == option_number::uriQuery) {
            request.queries.emplace_back(text);
        }
    });
    request.observe = message.uintOption(option_number::observe);
    request.block2 = message.block2();
    const bool blockValid = request.block2 || !message.option(option_number::block2);
    if (!allRecognized || !blockValid)
        return request_error::badOption;
    return deadlineValid ? request_error::none : request_error::badDeadline;
}

} // namespace oriolehold::core::internal
