#pragma once

#include "../common/coap_support.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Interfaces of a caller's operations. An exchange is one operation that takes one or more CoAP
// requests: an order, a guide (download) or a feed (observation).

namespace oriolehold::standins {

// Time after the deadline at which a request without a response counts as unanswered.
inline constexpr std::int64_t answerGraceUs = 10'000'000;
// Time after the deadline, or after the last resend, at which an unanswered request is resent.
// libcoap retransmits only requests that were not acknowledged.
inline constexpr std::int64_t resendIntervalUs = 3'000'000;
// Limit of consecutive challenges: one for an unbound and one for a bound token, and again two
// after each of two redirects to another upstream.
inline constexpr int maxChallenges = 6;

// Content of a request to send.
struct outgoing_request
{
    coap_request_t method = COAP_REQUEST_GET;
    std::vector<std::string> path; // segments
    std::vector<std::string> queries;
    std::string token;
    std::string echo; // empty: no Echo option
    std::optional<std::uint32_t> observe;
    std::optional<coap_block_t> block2;
    std::string payload;
    int copies = 1; // identical packets, sent back to back
};

// A response, or a notification from a feed.
struct incoming_response
{
    coap_pdu_code_t code = COAP_EMPTY_CODE;
    std::string token;
    std::optional<std::string> echo;
    std::optional<std::uint32_t> observe;
    std::optional<std::uint32_t> maxAge; // seconds
    std::optional<coap_block_t> block2;
    std::string etag;
    std::string payload;

    int codeClass() const { return static_cast<int>(code) >> 5; }
    // The code in the form "2.05".
    std::string codeText() const
    {
        const int detail = static_cast<int>(code) & 0x1f;
        return std::to_string(codeClass()) + (detail < 10 ? ".0" : ".") + std::to_string(detail);
    }
    bool isChallenge() const { return code == COAP_RESPONSE_CODE_UNAUTHORIZED && echo; }
};

// Sends requests and allocates tokens.
class request_sender
{
public:
    virtual ~request_sender() = default;
    // Returns a unique token; responses with it are delivered to the current exchange. Feed tokens
    // have a prefix of their own: a notification with a released feed token is answered with RST.
    virtual std::string newToken(bool forFeed) = 0;
    virtual void releaseToken(const std::string &token) = 0;
    virtual void send(coap_session_t *session, const outgoing_request &request) = 0;
};

class exchange
{
public:
    virtual ~exchange() = default;
    virtual void start(std::int64_t nowUs) = 0;
    // Returns false to reject the response; libcoap then answers with RST.
    virtual bool receive(const incoming_response &response, std::int64_t nowUs) = 0;
    // Called when the peer has answered a request with RST.
    virtual void receiveReset(const std::string &token, std::int64_t nowUs) = 0;
    // Runs the actions that are due.
    virtual void advance(std::int64_t nowUs) = 0;
    // Time at which advance() has to be called next, in Unix microseconds.
    virtual std::int64_t nextTimer() const = 0;
    virtual bool finished() const = 0;
    // Returns the record of a finished exchange, or of a feed up to now.
    virtual nlohmann::json record(std::int64_t nowUs) const = 0;
};

// Maps the code of a final response to "done", "not_run", "unknown" or "rejected".
inline const char *outcomeOf(coap_pdu_code_t code)
{
    switch (static_cast<int>(code) >> 5) {
    case 2:
        return "done";
    case 4:
        return "rejected";
    default:
        return code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE ? "not_run" : "unknown";
    }
}

} // namespace oriolehold::standins
