#include "oriolehold/core/diagnostic.h"

#include <charconv>
#include <map>
#include <string>

namespace oriolehold::core {

namespace {

using coap::message_code;
using coap::message_type;

std::map<result_code, std::string> makeTexts()
{
    std::map<result_code, std::string> texts;
    for (const result_code_info &item : resultCodes()) {
        texts.emplace(item.code,
                      std::to_string(toInteger(item.code)) + ' ' + std::string(item.name) + ' '
                              + std::string(item.text));
    }
    return texts;
}

} // namespace

message_code responseCode(result_code code)
{
    switch (info(code).outcome) {
    case outcome::notRun:
        return message_code::serviceUnavailable;
    case outcome::unknown:
        return message_code::gatewayTimeout;
    case outcome::retry:
        return message_code::unauthorized;
    case outcome::rejected:
        return code == result_code::noSuchClass ? message_code::notFound : message_code::badRequest;
    case outcome::done:
    case outcome::dropped:
        break;
    }
    return message_code::internalServerError;
}

std::string_view diagnosticText(result_code code)
{
    static const std::map<result_code, std::string> texts = makeTexts();
    const auto found = texts.find(code);
    return found == texts.end() ? std::string_view() : std::string_view(found->second);
}

coap::message_builder buildDiagnostic(const coap::message_view &request, result_code code,
                                      const diagnostic_options &options)
{
    const bool confirmable = request.type() == message_type::confirmable;
    coap::message_builder builder(
            confirmable ? message_type::acknowledgement : message_type::nonConfirmable,
            responseCode(code), confirmable ? request.messageId() : options.messageId,
            request.token());
    if (options.maxAge)
        builder.uintOption(coap::option_number::maxAge, *options.maxAge);
    if (!options.echo.empty())
        builder.option(coap::option_number::echo, options.echo);
    builder.payload(diagnosticText(code));
    return builder;
}

std::optional<result_code> parseDiagnostic(byte_view payload)
{
    const std::string_view text = coap::asText(payload);
    std::uint16_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto code = static_cast<result_code>(number);
    if (error != std::errc() || info(code).code != code || text != diagnosticText(code))
        return std::nullopt;
    return code;
}

} // namespace oriolehold::core
