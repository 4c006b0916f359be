#include "oriolehold/coap/message.h"

#include <coap3/coap.h>

#include <algorithm>

namespace oriolehold::coap {

namespace {

constexpr std::size_t headerSize = 4;
constexpr std::size_t maxTokenSize = 8;
constexpr std::uint8_t payloadMarker = 0xff;
constexpr std::uint8_t protocolVersion = 1;

std::optional<message_view> fail(parse_error reason, parse_error *error)
{
    if (error != nullptr)
        *error = reason;
    return std::nullopt;
}

std::uint32_t decodeUint(byte_view value)
{
    std::uint32_t result = 0;
    for (const std::uint8_t byte : value)
        result = (result << 8) | byte;
    return result;
}

} // namespace

bool message_view::option_cursor::next()
{
    if (rest.empty() || rest.front() == payloadMarker)
        return false;
    coap_option_t option;
    const std::size_t size = coap_opt_parse(rest.data(), rest.size(), &option);
    if (size == 0 || size > rest.size() || option.delta > 0xffff - number)
        return false;
    number = static_cast<std::uint16_t>(number + option.delta);
    value = { option.value, option.length };
    rest = rest.subspan(size);
    return true;
}

std::optional<message_view> message_view::parse(byte_view bytes, parse_error *error)
{
    if (bytes.size() < headerSize)
        return fail(parse_error::truncated, error);
    if (bytes.size() > maxMessageSize)
        return fail(parse_error::oversized, error);
    if (bytes[0] >> 6 != protocolVersion)
        return fail(parse_error::badVersion, error);
    const std::size_t tokenSize = bytes[0] & 0x0f;
    if (tokenSize > maxTokenSize)
        return fail(parse_error::badTokenLength, error);
    if (bytes.size() < headerSize + tokenSize)
        return fail(parse_error::truncated, error);

    message_view message;
    message.m_bytes = bytes;
    message.m_type = static_cast<message_type>((bytes[0] >> 4) & 0x03);
    message.m_code = static_cast<message_code>(bytes[1]);
    message.m_messageId = static_cast<std::uint16_t>(bytes[2] << 8 | bytes[3]);
    message.m_token = bytes.subspan(headerSize, tokenSize);
    if (message.isEmpty() && bytes.size() != headerSize)
        return fail(parse_error::badEmptyMessage, error);

    const byte_view body = bytes.subspan(headerSize + tokenSize);
    option_cursor cursor { body, 0, {} };
    while (cursor.next()) { }
    message.m_options = body.first(body.size() - cursor.rest.size());
    if (cursor.rest.empty())
        return message;
    if (cursor.rest.front() != payloadMarker)
        return fail(parse_error::badOption, error);
    if (cursor.rest.size() == 1)
        return fail(parse_error::emptyPayload, error);
    message.m_payload = cursor.rest.subspan(1);
    return message;
}

std::optional<byte_view> message_view::option(option_number number) const
{
    option_cursor cursor { m_options, 0, {} };
    while (cursor.next()) {
        if (cursor.number == static_cast<std::uint16_t>(number))
            return cursor.value;
        if (cursor.number > static_cast<std::uint16_t>(number))
            return std::nullopt;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> message_view::uintOption(option_number number) const
{
    const auto value = option(number);
    if (!value || value->size() > sizeof(std::uint32_t))
        return std::nullopt;
    return decodeUint(*value);
}

std::optional<block_option> message_view::block2() const
{
    const auto value = option(option_number::block2);
    if (!value || value->size() > 3)
        return std::nullopt;
    const std::uint32_t encoded = decodeUint(*value);
    const auto exponent = static_cast<std::uint8_t>(encoded & 0x07);
    if (exponent == 7)
        return std::nullopt;
    return block_option { encoded >> 4, (encoded & 0x08) != 0, exponent };
}

std::optional<std::string_view> message_view::query(std::string_view name) const
{
    std::optional<std::string_view> found;
    forEachOption([&](option_number number, byte_view value) {
        if (number != option_number::uriQuery || found)
            return;
        const std::string_view text = asText(value);
        if (text.size() > name.size() && text.starts_with(name) && text[name.size()] == '=')
            found = text.substr(name.size() + 1);
    });
    return found;
}

bool message_view::hasPath(std::string_view path) const
{
    bool matches = true;
    bool first = true;
    std::string_view rest = path;
    forEachOption([&](option_number number, byte_view value) {
        if (number != option_number::uriPath || !matches)
            return;
        if (!first) {
            matches = rest.starts_with('/');
            if (matches)
                rest.remove_prefix(1);
        }
        first = false;
        const std::string_view segment = asText(value);
        matches = matches && rest.starts_with(segment);
        if (matches)
            rest.remove_prefix(segment.size());
    });
    return matches && rest.empty();
}

message_builder::message_builder(message_type type, message_code code, std::uint16_t messageId,
                                 byte_view token)
{
    m_ok = token.size() <= maxTokenSize;
    if (!m_ok)
        return;
    m_buffer[0] = static_cast<std::uint8_t>(protocolVersion << 6 | static_cast<unsigned>(type) << 4
                                            | token.size());
    m_buffer[1] = static_cast<std::uint8_t>(code);
    m_buffer[2] = static_cast<std::uint8_t>(messageId >> 8);
    m_buffer[3] = static_cast<std::uint8_t>(messageId);
    m_size = headerSize;
    append(token);
}

message_builder &message_builder::option(option_number number, byte_view value)
{
    const auto optionNumber = static_cast<std::uint16_t>(number);
    if (!m_ok || optionNumber < m_lastOption) {
        m_ok = false;
        return *this;
    }
    const std::size_t written =
            coap_opt_encode(m_buffer.data() + m_size, m_buffer.size() - m_size,
                            static_cast<std::uint16_t>(optionNumber - m_lastOption),
                            value.empty() ? nullptr : value.data(), value.size());
    m_ok = written > 0;
    m_size += written;
    m_lastOption = optionNumber;
    return *this;
}

message_builder &message_builder::option(option_number number, std::string_view value)
{
    return option(number, asBytes(value));
}

message_builder &message_builder::uintOption(option_number number, std::uint32_t value)
{
    std::array<std::uint8_t, sizeof(value)> buffer {};
    std::size_t size = 0;
    for (int shift = 24; shift >= 0; shift -= 8) {
        const auto byte = static_cast<std::uint8_t>(value >> shift);
        if (size > 0 || byte != 0)
            buffer[size++] = byte;
    }
    return option(number, byte_view(buffer).first(size));
}

message_builder &message_builder::block2(const block_option &block)
{
    return uintOption(option_number::block2,
                      block.number << 4 | (block.more ? 0x08u : 0u) | block.sizeExponent);
}

message_builder &message_builder::payload(byte_view value)
{
    if (value.empty())
        return *this;
    append(std::array { payloadMarker });
    append(value);
    return *this;
}

message_builder &message_builder::payload(std::string_view value)
{
    return payload(asBytes(value));
}

byte_view message_builder::bytes() const
{
    return m_ok ? byte_view(m_buffer).first(m_size) : byte_view();
}

byte_vector message_builder::toVector() const
{
    const byte_view view = bytes();
    return { view.begin(), view.end() };
}

void message_builder::append(byte_view value)
{
    if (!m_ok || value.size() > m_buffer.size() - m_size) {
        m_ok = false;
        return;
    }
    std::ranges::copy(value, m_buffer.begin() + static_cast<std::ptrdiff_t>(m_size));
    m_size += value.size();
}

} // namespace oriolehold::coap
