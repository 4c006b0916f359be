#pragma once

#include "oriolehold/flow/packet.h"

// Values that several tests use.

namespace oriolehold::flow {

using instruction = packet_tag::instruction;

inline constexpr base::endpoint client { 0x64400007, 40001 };
inline constexpr base::endpoint ordersAddress { 0xc6120001, 443 }; // of the service "orders"
inline constexpr flow_key clientFlow { client, ordersAddress };

} // namespace oriolehold::flow
