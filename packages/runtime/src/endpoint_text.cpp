#include "oriolehold/runtime/endpoint_text.h"

#include <charconv>
#include <system_error>

namespace oriolehold::runtime {

namespace {

// Parses a decimal number without leading zeros and of at most maximum, and removes it from the
// front of text.
std::optional<std::uint32_t> consumeNumber(std::string_view &text, std::uint32_t maximum)
{
    if (text.empty() || (text.size() > 1 && text[0] == '0' && text[1] >= '0' && text[1] <= '9'))
        return std::nullopt;
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || value > maximum)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

bool consumeCharacter(std::string_view &text, char expected)
{
    if (!text.starts_with(expected))
        return false;
    text.remove_prefix(1);
    return true;
}

} // namespace

std::optional<core::endpoint> parseEndpoint(std::string_view text)
{
    core::endpoint result;
    for (int part = 0; part < 4; ++part) {
        if (part > 0 && !consumeCharacter(text, '.'))
            return std::nullopt;
        const std::optional<std::uint32_t> number = consumeNumber(text, 255);
        if (!number)
            return std::nullopt;
        result.address = result.address << 8 | *number;
    }
    if (!consumeCharacter(text, ':'))
        return std::nullopt;
    const std::optional<std::uint32_t> port = consumeNumber(text, 65535);
    if (!port || *port == 0 || result.address == 0 || !text.empty())
        return std::nullopt;
    result.port = static_cast<std::uint16_t>(*port);
    return result;
}

} // namespace oriolehold::runtime
