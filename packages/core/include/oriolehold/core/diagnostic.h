#pragma once

#include "oriolehold/coap/message.h"
#include "oriolehold/core/result_code.h"

#include <string_view>

// Responses that oriolehold makes itself. Their diagnostic payload is "<number> <name> <text>".

namespace oriolehold::core {

struct diagnostic_options
{
    byte_view echo;                      // value of the Echo option, none when empty
    std::optional<std::uint32_t> maxAge; // seconds, none when absent
    // Message ID of the response to a non-confirmable request. The response to a confirmable
    // request is an acknowledgement with the message ID of the request.
    std::uint16_t messageId = 0;
};

// CoAP code of a response with this result: notRun is 5.03, unknown 5.04, retry 4.01, rejected 4.00
// (noSuchClass 4.04). Results without a response of oriolehold itself (done, dropped) are 5.00.
coap::message_code responseCode(result_code code);

// "<number> <name> <text>"; storage is static.
std::string_view diagnosticText(result_code code);

// Response to a request. Does not allocate memory.
coap::message_builder buildDiagnostic(const coap::message_view &request, result_code code,
                                      const diagnostic_options &options = {});

// The result code at the start of a diagnostic payload, empty when the payload has another form.
std::optional<result_code> parseDiagnostic(byte_view payload);

} // namespace oriolehold::core
