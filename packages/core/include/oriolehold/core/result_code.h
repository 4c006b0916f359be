#pragma once

#include "oriolehold/core/types.h"

#include <array>
#include <optional>
#include <string_view>

// Numbered result codes. A test compares them with the table in docs/result-codes.md.

namespace oriolehold::core {

// What a caller may conclude from a response.
enum class outcome : std::uint8_t {
    done,     // the upstream answered
    notRun,   // the request was not run and never will be
    unknown,  // the request may have run
    retry,    // not run; the caller repeats the request with the Echo option of the response
    rejected, // the request is invalid and was not run
    dropped,  // no response is sent
};

enum class result_code : std::uint16_t {
    // 1xxx: done or continue
    done = 1000,
    challenge = 1001, // 4.01 with a new token

    // 2xxx: not run
    queueFull = 2001,
    deadlineUnreachable = 2002,
    deadlinePassed = 2003,
    draining = 2004,
    upstreamShed = 2005,
    noUpstream = 2006,
    ledgerFull = 2007,
    priorityShed = 2008,
    canceled = 2009,
    connectionLimit = 2010,

    // 3xxx: unknown
    upstreamTimeout = 3001,
    ownerRestarted = 3002,
    ticketExpired = 3003,
    tokenInvalid = 3004,
    ownerUnreachable = 3005,
    upstreamFailed = 3006,

    // 4xxx: rejected
    ticketReused = 4001,
    noSuchClass = 4002,
    badRequest = 4003,

    // 5xxx: dropped packets
    malformedMessage = 5001,
    unknownService = 5002,
    unsolicitedResponse = 5003,
    amplificationLimit = 5004,
    unknownOwner = 5005,
    badEnvelope = 5006,
    wrongService = 5007,
    unknownFlow = 5008,
    rateLimited = 5009,
};

struct result_code_info
{
    result_code code;
    std::string_view name; // as in docs/result-codes.md
    core::outcome outcome;
    std::string_view text; // one sentence for operators and for diagnostic payloads
};

// All codes in ascending order.
std::span<const result_code_info> resultCodes();
const result_code_info &info(result_code code);

} // namespace oriolehold::core
