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

// Size of "<number> <name>".
std::size_t shortTextSize(result_code code)
{
    constexpr std::size_t numberAndSpace = 5;
    return numberAndSpace + info(code).name.size();
}

coap::message_builder build(const coap::message_view &request, result_code code,
                            const diagnostic_options &options, std::string_view text)
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
    builder.payload(text);
    return builder;
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
    const std::string_view text = diagnosticText(code);
    const coap::message_builder full = build(request, code, options, text);
    if (full.bytes().size() <= options.maxSize)
        return full;
    return build(request, code, options, text.substr(0, shortTextSize(code)));
}

std::optional<result_code> parseDiagnostic(byte_view payload)
{
    const std::string_view text = coap::asText(payload);
    std::uint16_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto code = static_cast<result_code>(number);
    if (error != std::errc() || end == text.data() + text.size() || *end != ' '
        || info(code).code != code)
        return std::nullopt;
    const std::string_view name = text.substr(static_cast<std::size_t>(end - text.data()) + 1);
    const std::string_view known = info(code).name;
    const bool matches =
            name.starts_with(known) && (name.size() == known.size() || name[known.size()] == ' ');
    return matches ? std::optional(code) : std::nullopt;
}

} // namespace oriolehold::core
