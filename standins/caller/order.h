#pragma once

#include "exchange.h"

namespace oriolehold::standins {

struct order_parameters
{
    std::string id;
    std::string service;
    std::string path;
    std::int64_t workUs = 0;
    std::int64_t deadlineMs = 0;
    bool straggler = false;
    bool duplicate = false;          // each packet is sent twice
    std::int64_t cancelDelayUs = -1; // from the start to the cancellation; -1: never
    int attempt = 0;                 // number of refused orders that this one replaces
};

// An order: a request that must run at most once.
//
// Only responses with the token of the latest request are handled. A second challenge to the first
// packet (a duplicate, or a retransmission that reached another entry) must not be answered: its
// Echo value is a second ticket, with which the order could run twice.
class order final : public exchange
{
public:
    order(order_parameters parameters, coap_session_t *session, request_sender &sender);

    void start(std::int64_t nowUs) override;
    bool receive(const incoming_response &response, std::int64_t nowUs) override;
    void receiveReset(const std::string &token, std::int64_t nowUs) override;
    void advance(std::int64_t nowUs) override;
    std::int64_t nextTimer() const override;
    bool finished() const override { return !m_outcome.empty(); }
    nlohmann::json record(std::int64_t nowUs) const override;

    const order_parameters &parameters() const { return m_parameters; }
    // Whether the order was refused without having run.
    bool refused() const { return m_outcome == "not_run"; }

private:
    void sendRequest();
    void finish(std::string outcome, std::int64_t nowUs);
    bool isCanceled(std::int64_t nowUs) const;

    order_parameters m_parameters;
    coap_session_t *m_session;
    request_sender &m_sender;
    std::string m_token;
    std::string m_echo;
    int m_challenges = 0;
    int m_resends = 0;
    std::int64_t m_startUs = 0;
    std::int64_t m_endUs = 0;
    std::int64_t m_deadlineUs = 0;
    std::int64_t m_nextResendUs = 0;
    bool m_reset = false;
    std::string m_outcome;
    std::string m_code;
    std::string m_payload;
    bool m_rightAnswer = false;
};

} // namespace oriolehold::standins
