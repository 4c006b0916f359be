#pragma once

#include "oriolehold/core/types.h"

// Transmission parameters of CoAP (RFC 7252, section 4.8).

namespace oriolehold::core::internal {

// A message ID is not used again for another message within this time (EXCHANGE_LIFETIME).
inline constexpr std::chrono::seconds exchangeLifetime { 247 };
// A request whose answer takes longer is acknowledged with an empty ACK. Well below the 2 s
// (ACK_TIMEOUT) after which callers retransmit.
inline constexpr std::chrono::milliseconds piggybackLimit { 500 };
// Interval before the first retransmission (ACK_TIMEOUT), doubled for each further one.
inline constexpr std::chrono::seconds ackTimeout { 2 };
inline constexpr int maxRetransmissions = 4; // MAX_RETRANSMIT

} // namespace oriolehold::core::internal
