#pragma once

#include "../common/coap_support.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// A caller's work that needs one or more CoAP requests: an order, a guide or a feed.

namespace oriolehold::standins {

// Time without any answer after the deadline, after which a request counts as unanswered.
inline constexpr std::int64_t answerGraceUs = 10'000'000;
// A request whose answer does not come is sent again this long after its deadline or its last
// sending; libcoap itself repeats only requests that were not acknowledged.
inline constexpr std::int64_t resendIntervalUs = 3'000'000;
// Challenges that are answered in a row: an unbound and a bound token, and the same after each of
// two moves to another upstream.
inline constexpr int maxChallenges = 6;

// A request as the sender puts it on the wire.
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
    int copies = 1; // copies of the same packet that are sent at once
};

// A response, or a notification of a feed.
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
    // "2.05"
    std::string codeText() const
    {
        const int detail = static_cast<int>(code) & 0x1f;
        return std::to_string(codeClass()) + (detail < 10 ? ".0" : ".") + std::to_string(detail);
    }
    bool isChallenge() const { return code == COAP_RESPONSE_CODE_UNAUTHORIZED && echo; }
};

// Sends requests and hands out tokens.
class request_sender
{
public:
    virtual ~request_sender() = default;
    // A token that no other request has; responses with it go to the exchange. Tokens of feeds are
    // marked: a notification whose feed token is not known any more is answered with RST.
    virtual std::string newToken(bool forFeed) = 0;
    virtual void releaseToken(const std::string &token) = 0;
    virtual void send(coap_session_t *session, const outgoing_request &request) = 0;
};

class exchange
{
public:
    virtual ~exchange() = default;
    virtual void start(std::int64_t nowUs) = 0;
    // Returns false when the response is not wanted; libcoap then answers with RST.
    virtual bool receive(const incoming_response &response, std::int64_t nowUs) = 0;
    // The peer answered a request with RST.
    virtual void receiveReset(const std::string &token, std::int64_t nowUs) = 0;
    virtual void advance(std::int64_t nowUs) = 0;
    virtual std::int64_t nextTimer() const = 0;
    virtual bool finished() const = 0;
    // The record of a finished exchange; for a feed, the record up to now.
    virtual nlohmann::json record(std::int64_t nowUs) const = 0;
};

// "done", "not_run", "unknown" or "rejected", by the code of a final response.
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
