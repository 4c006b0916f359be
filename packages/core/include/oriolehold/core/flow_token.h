#pragma once

#include "oriolehold/core/configuration.h"
#include "oriolehold/core/types.h"

#include <array>

// Flow token: the value of the Echo option, which identifies the owner of a flow. docs/design.md,
// section 4, specifies its layout.

namespace oriolehold::core {

struct flow_token
{
    service_id service {};
    upstream_id upstream {};
    endpoint agent;                                             // destination of forwarded packets
    core::incarnation incarnation = core::incarnation::unknown; // unknown: not bound
    std::uint32_t issuedAt = 0;                                 // Unix seconds
    ticket_number ticket = 0;                                   // below 2^48
    // Number of times that agents redirected the request, because of load or a drain.
    std::uint8_t hops = 0; // up to maxFlowHops

    bool isBound() const { return incarnation != core::incarnation::unknown; }
    bool operator==(const flow_token &) const = default;
};

inline constexpr std::size_t flowTokenSize = 34;
inline constexpr std::uint8_t maxFlowHops = 2;

// Hop count of a request after one more redirect. A drain redirects at the limit too.
constexpr std::uint8_t nextHopCount(std::uint8_t hops)
{
    return hops < maxFlowHops ? static_cast<std::uint8_t>(hops + 1) : maxFlowHops;
}

using flow_token_bytes = std::array<std::uint8_t, flowTokenSize>;

enum class token_status : std::uint8_t {
    valid,
    malformed, // wrong size or version
    unknownKey,
    forged,  // the MAC does not match, or the token belongs to another caller address
    expired, // older than the token lifetime, or issued in the future beyond maxClockSkew
};

struct token_result
{
    token_status status = token_status::malformed;
    flow_token token; // authentic if status is valid or expired, else empty
};

// Issues and verifies tokens with the keys of one configuration. Thread-safe. Does not allocate
// memory after construction.
class flow_token_codec
{
public:
    // content must contain its signing key.
    explicit flow_token_codec(const configuration_content &content);

    // callerAddress is the IPv4 address of the caller in host byte order. Tokens are not bound to
    // the caller's port.
    flow_token_bytes seal(const flow_token &token, std::uint32_t callerAddress) const;
    token_result open(byte_view bytes, std::uint32_t callerAddress, time_point now) const;

private:
    const token_key *findKey(std::uint8_t id) const;

    std::vector<token_key> m_keys;
    std::uint8_t m_signingKey;
    std::chrono::seconds m_lifetime;
};

} // namespace oriolehold::core
