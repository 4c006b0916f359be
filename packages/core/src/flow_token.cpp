#include "oriolehold/core/flow_token.h"

#include "oriolehold/core/invariant.h"

#include <sodium.h>

#include <algorithm>

namespace oriolehold::core {

namespace {

constexpr std::uint8_t version = 1;
constexpr std::uint8_t boundFlag = 1;
constexpr unsigned hopsShift = 1;
constexpr std::uint8_t hopsMask = 3;
constexpr std::size_t macSize = crypto_shorthash_BYTES;
constexpr std::size_t bodySize = flowTokenSize - macSize;
constexpr std::size_t addressSize = 4;
constexpr std::size_t ticketSize = 6;

static_assert(std::tuple_size_v<decltype(token_key::secret)> == crypto_shorthash_KEYBYTES);

class byte_writer
{
public:
    explicit byte_writer(std::span<std::uint8_t> bytes) : m_rest(bytes) { }

    void put(std::uint64_t value, std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_rest[i] = static_cast<std::uint8_t>(value >> (8 * (size - 1 - i)));
        m_rest = m_rest.subspan(size);
    }

private:
    std::span<std::uint8_t> m_rest;
};

class byte_reader
{
public:
    explicit byte_reader(byte_view bytes) : m_rest(bytes) { }

    template<typename Integer>
    Integer get(std::size_t size = sizeof(Integer))
    {
        std::uint64_t value = 0;
        for (const std::uint8_t byte : m_rest.first(size))
            value = value << 8 | byte;
        m_rest = m_rest.subspan(size);
        return static_cast<Integer>(value);
    }

private:
    byte_view m_rest;
};

using mac_bytes = std::array<std::uint8_t, macSize>;

// The MAC covers the fields of the token and the caller's address.
mac_bytes computeMac(byte_view body, std::uint32_t callerAddress, const token_key &key)
{
    std::array<std::uint8_t, bodySize + addressSize> input;
    std::ranges::copy(body, input.begin());
    byte_writer(std::span(input).last(addressSize)).put(callerAddress, addressSize);
    mac_bytes mac;
    crypto_shorthash(mac.data(), input.data(), input.size(), key.secret.data());
    return mac;
}

flow_token decodeBody(byte_view body)
{
    byte_reader reader(body.subspan(2)); // after version, flags and key id
    flow_token token;
    token.hops = body[0] >> hopsShift & hopsMask;
    token.service = static_cast<service_id>(reader.get<std::uint16_t>());
    token.upstream = static_cast<upstream_id>(reader.get<std::uint16_t>());
    token.agent.address = reader.get<std::uint32_t>();
    token.agent.port = reader.get<std::uint16_t>();
    token.incarnation = static_cast<incarnation>(reader.get<std::uint32_t>());
    token.issuedAt = reader.get<std::uint32_t>();
    token.ticket = reader.get<ticket_number>(ticketSize);
    return token;
}

std::uint8_t headerOf(const flow_token &token)
{
    return static_cast<std::uint8_t>(version << 4 | token.hops << hopsShift
                                     | (token.isBound() ? boundFlag : 0));
}

// Whether the flags match the fields. seal() creates no other tokens.
bool hasConsistentFlags(std::uint8_t header, const flow_token &token)
{
    return token.hops <= maxFlowHops && header == headerOf(token);
}

} // namespace

flow_token_codec::flow_token_codec(const configuration_content &content)
    : m_keys(content.keys), m_signingKey(content.signingKey), m_lifetime(content.tokenLifetime)
{ }

const token_key *flow_token_codec::findKey(std::uint8_t id) const
{
    const auto found = std::ranges::find(m_keys, id, &token_key::id);
    return found == m_keys.end() ? nullptr : &*found;
}

flow_token_bytes flow_token_codec::seal(const flow_token &token, std::uint32_t callerAddress) const
{
    ORIOLEHOLD_INVARIANT(token.hops <= maxFlowHops, "a request is moved at most twice");
    flow_token_bytes bytes {};
    const token_key *key = findKey(m_signingKey);
    if (key == nullptr)
        return bytes; // version 0, which open() rejects
    byte_writer writer(bytes);
    writer.put(headerOf(token), 1);
    writer.put(m_signingKey, 1);
    writer.put(toInteger(token.service), 2);
    writer.put(toInteger(token.upstream), 2);
    writer.put(token.agent.address, addressSize);
    writer.put(token.agent.port, 2);
    writer.put(toInteger(token.incarnation), 4);
    writer.put(token.issuedAt, 4);
    writer.put(token.ticket, ticketSize);
    const mac_bytes mac = computeMac(byte_view(bytes).first(bodySize), callerAddress, *key);
    std::ranges::copy(mac, bytes.begin() + bodySize);
    return bytes;
}

token_result flow_token_codec::open(byte_view bytes, std::uint32_t callerAddress,
                                    time_point now) const
{
    if (bytes.size() != flowTokenSize || bytes[0] >> 4 != version)
        return { token_status::malformed, {} };
    const token_key *key = findKey(bytes[1]);
    if (key == nullptr)
        return { token_status::unknownKey, {} };
    const byte_view body = bytes.first(bodySize);
    const mac_bytes expected = computeMac(body, callerAddress, *key);
    if (sodium_memcmp(expected.data(), bytes.data() + bodySize, macSize) != 0)
        return { token_status::forged, {} };
    const flow_token token = decodeBody(body);
    if (!hasConsistentFlags(bytes[0], token))
        return { token_status::malformed, {} };
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    const std::chrono::seconds age = seconds - std::chrono::seconds { token.issuedAt };
    const bool current = age >= -maxClockSkew && age <= m_lifetime;
    return { current ? token_status::valid : token_status::expired, token };
}

} // namespace oriolehold::core
