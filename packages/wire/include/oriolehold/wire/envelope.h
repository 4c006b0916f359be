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

// Forwards a caller's packet to the owner of its flow.
struct forward_message
{
    core::endpoint caller;
    core::service_id service {};
    core::generation_number generation = 0; // in effect at the sender
    core::byte_vector packet;               // CoAP bytes
    core::duration age {};                  // time that the packet waited at the sender

    bool operator==(const forward_message &) const = default;
};

// Carries an agent's packet towards a caller.
struct deliver_message
{
    core::endpoint caller;
    core::service_id service {};
    core::agent_report report;
    core::byte_vector packet; // CoAP bytes

    bool operator==(const deliver_message &) const = default;
};

// Requests a report from an agent.
struct probe_message
{
    core::generation_number generation = 0;

    bool operator==(const probe_message &) const = default;
};

// Response to a probe_message.
struct probe_reply_message
{
    core::agent_report report;

    bool operator==(const probe_reply_message &) const = default;
};

using message = std::variant<forward_message, deliver_message, probe_message, probe_reply_message,
                             core::handover_message>;

// Largest datagram that is sent or accepted, in bytes.
inline constexpr std::size_t maxEnvelopeSize = 2048;

// Encodes and decodes datagrams with the keys of a published document.
class envelope_codec
{
public:
    explicit envelope_codec(const core::configuration_content &content);

    // Returns an empty vector when the message exceeds maxEnvelopeSize or the signing key is
    // missing.
    core::byte_vector encode(const message &value) const;
    // Replaces the content of datagram, which is empty after the errors above. Reusing the vector
    // avoids an allocation from the second call on.
    void encode(const message &value, core::byte_vector &datagram) const;
    // Returns an empty optional when the bytes are malformed, oversized or not authentic. Never
    // throws.
    std::optional<message> decode(core::byte_view bytes) const;

private:
    std::vector<core::token_key> m_keys;
    std::uint8_t m_signingKey;
};

} // namespace oriolehold::wire
