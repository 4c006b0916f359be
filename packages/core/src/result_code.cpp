#include "oriolehold/core/result_code.h"

#include <algorithm>

namespace oriolehold::core {

namespace {

constexpr auto table = std::to_array<result_code_info>({
        { result_code::done, "done", outcome::done, "The upstream answered." },
        { result_code::challenge, "challenge", outcome::retry,
          "Repeat the request with the Echo option of this answer." },
        { result_code::queueFull, "queue-full", outcome::notRun, "The queue is full." },
        { result_code::deadlineUnreachable, "deadline-unreachable", outcome::notRun,
          "The expected wait exceeds the deadline." },
        { result_code::deadlinePassed, "deadline-passed", outcome::notRun,
          "The deadline passed before the request was dispatched." },
        { result_code::draining, "draining", outcome::notRun, "The instance is draining." },
        { result_code::upstreamShed, "upstream-shed", outcome::notRun,
          "The upstream refused the request." },
        { result_code::noUpstream, "no-upstream", outcome::notRun,
          "No upstream of the service accepts work." },
        { result_code::ledgerFull, "ledger-full", outcome::notRun, "The request ledger is full." },
        { result_code::priorityShed, "priority-shed", outcome::notRun,
          "Work of a higher priority uses the capacity." },
        { result_code::canceled, "canceled", outcome::notRun,
          "The caller canceled the request before it was dispatched." },
        { result_code::connectionLimit, "connection-limit", outcome::notRun,
          "The upstream has no free connection." },
        { result_code::upstreamTimeout, "upstream-timeout", outcome::unknown,
          "The upstream did not answer within the deadline." },
        { result_code::ownerRestarted, "owner-restarted", outcome::unknown,
          "The agent restarted after it issued the ticket." },
        { result_code::ticketExpired, "ticket-expired", outcome::unknown, "The ticket expired." },
        { result_code::tokenInvalid, "token-invalid", outcome::unknown,
          "The flow token cannot be verified." },
        { result_code::ownerUnreachable, "owner-unreachable", outcome::unknown,
          "The owner of the flow does not answer." },
        { result_code::upstreamFailed, "upstream-failed", outcome::unknown,
          "The upstream failed while it ran the request." },
        { result_code::ticketReused, "ticket-reused", outcome::rejected,
          "Another request used this ticket." },
        { result_code::noSuchClass, "no-such-class", outcome::rejected,
          "No request class matches method and path." },
        { result_code::badRequest, "bad-request", outcome::rejected, "An option is invalid." },
        { result_code::malformedMessage, "malformed-message", outcome::dropped,
          "The packet is not a CoAP message." },
        { result_code::unknownService, "unknown-service", outcome::dropped,
          "No service has this address." },
        { result_code::unsolicitedResponse, "unsolicited-response", outcome::dropped,
          "A caller sent a response." },
        { result_code::amplificationLimit, "amplification-limit", outcome::dropped,
          "The answer would exceed three times the request." },
        { result_code::unknownOwner, "unknown-owner", outcome::dropped,
          "No upstream has the index in the message ID." },
        { result_code::badEnvelope, "bad-envelope", outcome::dropped,
          "An envelope is malformed or not authentic." },
        { result_code::wrongService, "wrong-service", outcome::dropped,
          "An envelope belongs to another service." },
        { result_code::unknownFlow, "unknown-flow", outcome::dropped,
          "No flow matches the message." },
        { result_code::rateLimited, "rate-limited", outcome::dropped,
          "Too many packets of this kind arrived." },
});

} // namespace

std::span<const result_code_info> resultCodes()
{
    return table;
}

const result_code_info &info(result_code code)
{
    const auto found = std::ranges::lower_bound(table, code, {}, &result_code_info::code);
    return found != table.end() && found->code == code ? *found : table.front();
}

} // namespace oriolehold::core
