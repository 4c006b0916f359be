#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

// Parsing and encoding of CoAP messages (RFC 7252).
//
// A message_view is parsed without memory allocation and stays valid as long as the bytes do. A
// message_builder encodes one message; options must be added in ascending order of their numbers.

namespace oriolehold::coap {

using byte_view = std::span<const std::uint8_t>;
using byte_vector = std::vector<std::uint8_t>;

// Largest CoAP message that is accepted or sent, in bytes.
inline constexpr std::size_t maxMessageSize = 1400;

enum class message_type : std::uint8_t {
    confirmable = 0,
    nonConfirmable = 1,
    acknowledgement = 2,
    reset = 3,
};

// Codes are class << 5 | detail, as on the wire.
enum class message_code : std::uint8_t {
    empty = 0x00,
    get = 0x01,
    post = 0x02,
    put = 0x03,
    remove = 0x04,
    created = 0x41,                 // 2.01
    deleted = 0x42,                 // 2.02
    valid = 0x43,                   // 2.03
    changed = 0x44,                 // 2.04
    content = 0x45,                 // 2.05
    badRequest = 0x80,              // 4.00
    unauthorized = 0x81,            // 4.01, carries a new Echo option
    badOption = 0x82,               // 4.02
    notFound = 0x84,                // 4.04
    methodNotAllowed = 0x85,        // 4.05
    requestEntityIncomplete = 0x88, // 4.08
    internalServerError = 0xa0,     // 5.00
    badGateway = 0xa2,              // 5.02
    serviceUnavailable = 0xa3,      // 5.03, "not run"
    gatewayTimeout = 0xa4,          // 5.04, "unknown"
};

// Option numbers that oriolehold reads or writes.
enum class option_number : std::uint16_t {
    etag = 4,
    observe = 6,
    uriPath = 11,
    contentFormat = 12,
    maxAge = 14,
    uriQuery = 15,
    block2 = 23,
    size2 = 28,
    echo = 252,
};

// Reason why bytes are not a CoAP message.
enum class parse_error : std::uint8_t {
    none,
    truncated,
    oversized,
    badVersion,
    badTokenLength,
    badOption,
    badEmptyMessage, // an empty code with a token, options or payload
    emptyPayload,    // a payload marker without payload
};

// Value of a Block2 option (RFC 7959).
struct block_option
{
    std::uint32_t number = 0;
    bool more = false;
    std::uint8_t sizeExponent = 6; // 0 to 6; the block size is 2^(sizeExponent + 4) bytes

    std::size_t size() const { return std::size_t { 1 } << (sizeExponent + 4); }
    auto operator<=>(const block_option &) const = default;
};

// Read-only view of a received message.
class message_view
{
public:
    // Parses the whole message, options included. Never allocates.
    // Returns an empty optional on failure and then sets *error unless error is null.
    static std::optional<message_view> parse(byte_view bytes, parse_error *error = nullptr);

    message_type type() const { return m_type; }
    message_code code() const { return m_code; }
    std::uint16_t messageId() const { return m_messageId; }
    byte_view token() const { return m_token; }
    byte_view payload() const { return m_payload; }
    byte_view bytes() const { return m_bytes; }

    bool isEmpty() const { return m_code == message_code::empty; }
    bool isRequest() const { return !isEmpty() && codeClass() == 0; }
    bool isResponse() const { return codeClass() >= 2 && codeClass() <= 5; }
    int codeClass() const { return static_cast<int>(m_code) >> 5; }

    // Value of the first option with this number.
    std::optional<byte_view> option(option_number number) const;
    // Value of the first option with this number as an unsigned integer of at most 4 bytes.
    std::optional<std::uint32_t> uintOption(option_number number) const;
    std::optional<block_option> block2() const;

    // Value of the first Uri-Query option "name=value"; an empty optional when absent.
    std::optional<std::string_view> query(std::string_view name) const;

    // Calls visitor(option_number, byte_view) for each option in order.
    template<typename Visitor>
    void forEachOption(Visitor &&visitor) const;

    // True when the Uri-Path options joined with '/' equal path, which has no leading '/'.
    bool hasPath(std::string_view path) const;

private:
    struct option_cursor
    {
        byte_view rest;
        std::uint16_t number = 0;
        byte_view value;
        bool next();
    };

    message_type m_type = message_type::confirmable;
    message_code m_code = message_code::empty;
    std::uint16_t m_messageId = 0;
    byte_view m_token;
    byte_view m_options;
    byte_view m_payload;
    byte_view m_bytes;
};

template<typename Visitor>
void message_view::forEachOption(Visitor &&visitor) const
{
    option_cursor cursor { m_options, 0, {} };
    while (cursor.next())
        visitor(static_cast<option_number>(cursor.number), cursor.value);
}

// Encodes one message into a buffer of fixed size, without memory allocation. Errors are sticky:
// once an option was out of order or anything did not fit, ok() is false and bytes() is empty.
class message_builder
{
public:
    message_builder(message_type type, message_code code, std::uint16_t messageId,
                    byte_view token = {});

    message_builder &option(option_number number, byte_view value);
    message_builder &option(option_number number, std::string_view value);
    message_builder &uintOption(option_number number, std::uint32_t value);
    message_builder &block2(const block_option &block);
    message_builder &payload(byte_view value);
    message_builder &payload(std::string_view value);

    bool ok() const { return m_ok; }
    byte_view bytes() const;
    byte_vector toVector() const;

private:
    void append(byte_view value);

    std::array<std::uint8_t, maxMessageSize> m_buffer;
    std::size_t m_size = 0;
    std::uint16_t m_lastOption = 0;
    bool m_ok = true;
};

inline byte_view asBytes(std::string_view text)
{
    return { reinterpret_cast<const std::uint8_t *>(text.data()), text.size() };
}

inline std::string_view asText(byte_view bytes)
{
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

} // namespace oriolehold::coap
