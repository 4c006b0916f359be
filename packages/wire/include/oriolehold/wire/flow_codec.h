#pragma once

#include "oriolehold/flow/peer_message.h"
#include "oriolehold/flow/view_exchange.h"

#include <optional>

// Encoding of the messages and documents of the flow path. A datagram holds one version byte, then
// the message in cereal portable binary.

namespace oriolehold::wire {

// Largest datagram that is sent or accepted, in bytes; equals the limit of net::udp_socket.
inline constexpr std::size_t maxFlowDatagramSize = 2048;

// Replaces the content of datagram. Reusing the vector avoids an allocation per message.
void encodeFlowMessage(const flow::peer_message &message, base::byte_vector &datagram);
// Returns an empty optional when the datagram is malformed or oversized. Never throws.
std::optional<flow::peer_message> decodeFlowMessage(base::byte_view datagram);

// Codec of documents, in cereal portable binary without a version byte.
class flow_document_codec final : public flow::document_codec
{
public:
    base::byte_vector encode(const flow::flow_configuration &configuration) const override;
    base::byte_vector encode(const flow::upstream_list &list) const override;
    std::optional<flow::flow_configuration>
    decodeConfiguration(base::byte_view bytes) const override;
    std::optional<flow::upstream_list> decodeUpstreams(base::byte_view bytes) const override;
};

} // namespace oriolehold::wire
