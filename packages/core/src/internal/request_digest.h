#pragma once

#include "oriolehold/core/configuration.h"
#include "oriolehold/core/types.h"

#include <array>
#include <cstring>

// Digests that identify requests, packets and bodies.

namespace oriolehold::core::internal {

using request_digest = std::array<std::uint8_t, 16>;

// Digest of the fields that identify a request. The deadline is not part of it, because a caller
// that retries may have less time left.
request_digest digestOf(request_method method, std::string_view path,
                        std::span<const std::string> queries, byte_view payload);
// Digest of any bytes, for example an entity tag.
std::uint64_t shortDigestOf(byte_view bytes);

struct request_digest_hash
{
    std::size_t operator()(const request_digest &digest) const noexcept
    {
        std::size_t hash = 0; // digests are uniformly distributed
        std::memcpy(&hash, digest.data(), sizeof(hash));
        return hash;
    }
};

} // namespace oriolehold::core::internal
