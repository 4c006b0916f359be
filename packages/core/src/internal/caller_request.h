#pragma once

#include "oriolehold/coap/message.h"
#include "oriolehold/core/configuration.h"

#include <optional>

// A caller's request, decoded from its CoAP options.

namespace oriolehold::core::internal {

enum class request_error : std::uint8_t {
    none,
    badMethod,  // neither GET nor POST
    badOption,  // an unrecognized critical option, or an invalid Block2
    badDeadline // not a positive number of milliseconds up to one hour
};

struct caller_request
{
    request_method method = request_method::get;
    std::string path;                 // without a leading '/'
    std::vector<std::string> queries; // without the deadline
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<std::uint32_t> observe;
    std::optional<coap::block_option> block2;
};

// Fills request and returns none, or returns the first error.
request_error decode(const coap::message_view &message, caller_request &request);

} // namespace oriolehold::core::internal
