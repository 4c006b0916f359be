#pragma once

#include "oriolehold/coap/message.h"
#include "oriolehold/core/types.h"

#include <optional>

// Content of a response or notification to a caller.

namespace oriolehold::core::internal {

struct response
{
    coap::message_code code = coap::message_code::content;
    std::optional<std::uint64_t> etag;
    std::optional<std::uint32_t> observe;
    std::optional<std::uint32_t> maxAge; // seconds
    std::optional<coap::block_option> block2;
    std::optional<std::uint32_t> size2; // bytes of the whole body
    byte_view echo;
    byte_view payload;
};

coap::message_builder encode(const response &value, coap::message_type type,
                             std::uint16_t messageId, byte_view token);

} // namespace oriolehold::core::internal
