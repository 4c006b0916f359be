#pragma once

#include "oriolehold/core/types.h"

#include <optional>
#include <string_view>

namespace oriolehold::runtime {

// Parses "a.b.c.d:port": decimal numbers without leading zeros, an address other than 0.0.0.0 and a
// port from 1 to 65535. Returns an empty optional for any other text. Inverse of core::toString().
std::optional<core::endpoint> parseEndpoint(std::string_view text);

} // namespace oriolehold::runtime
