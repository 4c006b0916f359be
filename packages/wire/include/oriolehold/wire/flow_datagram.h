#pragma once

#include "oriolehold/flow/peer_message.h"

#include <optional>

// Datagrams of the flow path: one version byte, then the message in cereal portable binary.

namespace oriolehold::wire {

// Largest datagram that is sent or accepted, in bytes; the limit of net::udp_socket.
inline constexpr std::size_t maxFlowDatagram = 2048;

// Replaces the content of the vector. Reusing the vector avoids an allocation per message.
void encodeFlowMessage(const flow::peer_message &message, core::byte_vector &datagram);
// An empty optional when the bytes are malformed or oversized. Throws nothing.
std::optional<flow::peer_message> decodeFlowMessage(core::byte_view datagram);

} // namespace oriolehold::wire
