#pragma once

#include "oriolehold/flow/peer_message.h"
#include "oriolehold/flow/view_exchange.h"

#include <optional>

// Datagrams of the flow path: one version byte, then the message in cereal portable binary.

namespace oriolehold::wire {

// Largest datagram that is sent or accepted, in bytes; the limit of net::udp_socket.
inline constexpr std::size_t maxFlowDatagramSize = 2048;

// Replaces the content of the vector. Reusing the vector avoids an allocation per message.
void encodeFlowMessage(const flow::peer_message &message, base::byte_vector &datagram);
// An empty optional when the bytes are malformed or oversized. Throws nothing.
std::optional<flow::peer_message> decodeFlowMessage(base::byte_view datagram);

// Documents in the same encoding.
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
