#pragma once

#include "oriolehold/core/types.h"

// Transmission parameters of CoAP (RFC 7252, section 4.8).

namespace oriolehold::core::internal {

// A message ID is not used again for another message within this time (EXCHANGE_LIFETIME).
inline constexpr std::chrono::seconds exchangeLifetime { 247 };
// An answer that is not ready by then is announced with an empty ACK. Well below the 2 s after
// which callers retransmit.
inline constexpr std::chrono::milliseconds piggybackLimit { 500 };
inline constexpr std::chrono::seconds ackTimeout { 2 }; // doubled each time
inline constexpr int maxRetransmissions = 4;

} // namespace oriolehold::core::internal
