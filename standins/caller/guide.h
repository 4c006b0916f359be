#pragma once

#include "exchange.h"

namespace oriolehold::standins {

struct guide_parameters
{
    std::string id;
    std::string service;
    std::string path;
    std::int64_t workUs = 0;
    std::int64_t deadlineMs = 0;
    std::size_t size = 0;            // bytes
    std::int64_t cancelDelayUs = -1; // from the start to the cancellation; -1: never
};

// A block-wise download (RFC 7959). Each block request carries the Echo value of the last response.
// A 4.08 response or a changed ETag restarts the download. To cancel before the first block
// arrives, the caller sends a GET with Observe 1 and the token of its request.
class guide final : public exchange
{
public:
    guide(guide_parameters parameters, coap_session_t *session, request_sender &sender);

    void start(std::int64_t nowUs) override;
    bool receive(const incoming_response &response, std::int64_t nowUs) override;
    void receiveReset(const std::string &token, std::int64_t nowUs) override;
    void advance(std::int64_t nowUs) override;
    std::int64_t nextTimer() const override;
    bool finished() const override { return !m_outcome.empty(); }
    nlohmann::json record(std::int64_t nowUs) const override;

private:
    void requestBlock(std::int64_t nowUs);
    outgoing_request makeRequest() const;
    void sendRequest();
    void cancel();
    void receiveBlock(const incoming_response &response, std::int64_t nowUs);
    void restart(const std::string &reason, std::int64_t nowUs);
    void finish(std::string outcome, std::int64_t nowUs);

    guide_parameters m_parameters;
    coap_session_t *m_session;
    request_sender &m_sender;
    std::string m_token;
    std::string m_echo;
    std::string m_etag;
    std::string m_body;
    unsigned m_blockExponent = 6; // block size is 2^(exponent + 4) bytes
    int m_challenges = 0;         // since the last block
    int m_restarts = 0;
    std::string m_lastRestart; // reason of the last restart
    int m_resends = 0;
    std::int64_t m_startUs = 0;
    std::int64_t m_endUs = 0;
    std::int64_t m_deadlineUs = 0;
    std::int64_t m_nextResendUs = 0;
    std::int64_t m_cancelUs = INT64_MAX;
    bool m_canceled = false;
    std::string m_outcome;
    std::string m_code;
    std::string m_payload;
    bool m_rightAnswer = true;
};

} // namespace oriolehold::standins
