#pragma once

#include "oriolehold/core/agent_core.h"
#include "oriolehold/core/agent_report.h"
#include "oriolehold/core/configuration.h"

#include <optional>
#include <variant>

// Datagrams between the processes of oriolehold: cereal portable binary, authenticated with a key
// of the published document.
//
// Layout: 1 byte protocol version, 1 byte key id, 8 bytes SipHash-2-4 MAC over the rest, then the
// message.

namespace oriolehold::wire {

// A caller's packet on its way to the owner of its flow.
struct forward_message
{
    core::endpoint caller;
    core::service_id service {};
    core::generation_number generation = 0; // in effect at the sender
    core::byte_vector packet;               // CoAP bytes
    core::duration age {};                  // time that the packet waited at the sender

    bool operator==(const forward_message &) const = default;
};

// An agent's packet on its way to a caller.
struct deliver_message
{
    core::endpoint caller;
    core::service_id service {};
    core::agent_report report;
    core::byte_vector packet; // CoAP bytes

    bool operator==(const deliver_message &) const = default;
};

struct probe_message
{
    core::generation_number generation = 0;

    bool operator==(const probe_message &) const = default;
};

struct probe_reply_message
{
    core::agent_report report;

    bool operator==(const probe_reply_message &) const = default;
};

using message = std::variant<forward_message, deliver_message, probe_message, probe_reply_message,
                             core::handover_message>;

// Largest datagram that is sent or accepted, in bytes.
inline constexpr std::size_t maxEnvelopeSize = 2048;

class envelope_codec
{
public:
    explicit envelope_codec(const core::configuration_content &content);

    // Empty when the message does not fit a datagram.
    core::byte_vector encode(const message &value) const;
    // The same into a vector that is used again, without an allocation from the second time on.
    void encode(const message &value, core::byte_vector &datagram) const;
    // An empty optional when the bytes are malformed, oversized or not authentic. Never throws.
    std::optional<message> decode(core::byte_view bytes) const;

private:
    std::vector<core::token_key> m_keys;
    std::uint8_t m_signingKey;
};

} // namespace oriolehold::wire
