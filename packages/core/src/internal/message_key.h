#pragma once

#include "oriolehold/core/types.h"

#include <tuple>

// Identifies a message between a caller and this agent in one direction.

namespace oriolehold::core::internal {

struct message_key
{
    endpoint caller;
    std::uint16_t messageId = 0;

    bool operator==(const message_key &) const = default;
    bool operator<(const message_key &other) const
    {
        return std::tie(caller.address, caller.port, messageId)
                < std::tie(other.caller.address, other.caller.port, other.messageId);
    }
};

struct message_key_hash
{
    std::size_t operator()(const message_key &key) const noexcept
    {
        return endpoint_hash {}(key.caller) * 0x9e3779b97f4a7c15ULL + key.messageId;
    }
};

} // namespace oriolehold::core::internal
