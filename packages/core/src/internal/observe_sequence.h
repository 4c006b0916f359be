#pragma once

#include "oriolehold/core/types.h"

// Observe numbers (RFC 7641): 24 bits, compared in serial arithmetic.

namespace oriolehold::core::internal {

inline constexpr std::uint32_t observeMask = 0xff'ffff;

inline bool isNewerObserve(std::uint32_t value, std::uint32_t than)
{
    const std::uint32_t distance = (value - than) & observeMask;
    return distance > 0 && distance < 0x80'0000;
}

// The number after last. It follows the clock in steps of about 0.13 s, so that it also increases
// when another agent continues the feed without the last number.
inline std::uint32_t nextObserve(std::uint32_t last, time_point now)
{
    const auto ticks =
            static_cast<std::uint32_t>(now.time_since_epoch().count() >> 17) & observeMask;
    return isNewerObserve(ticks, last) ? ticks : (last + 1) & observeMask;
}

} // namespace oriolehold::core::internal
