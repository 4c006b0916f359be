#pragma once

#include "oriolehold/coap/message.h"
#include "oriolehold/core/configuration.h"

// Finds the class of a request within the service that it was sent to.

namespace oriolehold::core {

// Returns nullptr if no class matches: a method other than GET and POST, an unknown path, or a
// Uri-Path segment that contains '/' and so would be ambiguous. Does not allocate memory.
const request_class *classifyRequest(const service &service, const coap::message_view &request);

} // namespace oriolehold::core
