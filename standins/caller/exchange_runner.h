#pragma once

#include "exchange.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>
#include <unordered_set>

namespace oriolehold::standins {

// Runs exchanges over libcoap client sessions. Each pair of simulated caller and service has a
// session of its own, and thereby a UDP socket of its own.
class exchange_runner final : public request_sender
{
public:
    // Called with each finished exchange before it is removed.
    using finish_handler = std::function<void(const exchange &, std::int64_t nowUs)>;

    // The context must outlive the runner.
    exchange_runner(coap_context_t *context, std::int64_t ackTimeoutMs, finish_handler handler);
    ~exchange_runner() override;

    // Returns the caller's session with the service at this address; opens it on first use.
    coap_session_t *session(std::size_t caller, const std::string &address);

    void add(std::unique_ptr<exchange> exchange, std::int64_t nowUs);
    // Waits for a packet or a timer, at most until untilUs, then handles packets and due timers.
    void run(std::int64_t untilUs);
    std::size_t running() const { return m_exchanges.size(); }
    void forEach(const std::function<void(exchange &)> &visitor);

    std::string newToken(bool forFeed) override;
    void releaseToken(const std::string &token) override;
    void send(coap_session_t *session, const outgoing_request &request) override;

private:
    static coap_response_t handleResponse(coap_session_t *session, const coap_pdu_t *sent,
                                          const coap_pdu_t *received, coap_mid_t mid);
    static void handleNack(coap_session_t *session, const coap_pdu_t *sent,
                           coap_nack_reason_t reason, coap_mid_t mid);
    exchange *findByToken(const std::string &token);
    void schedule(std::uint64_t number);
    void finishIfDone(std::uint64_t number, std::int64_t nowUs);
    void runTimers(std::int64_t nowUs);

    struct timer
    {
        std::int64_t timeUs = 0;
        std::uint64_t number = 0;
        bool operator>(const timer &other) const { return timeUs > other.timeUs; }
    };

    coap_context_t *m_context;
    std::int64_t m_ackTimeoutMs;
    finish_handler m_finishHandler;
    std::map<std::pair<std::size_t, std::string>, coap_session_t *> m_sessions;
    std::unordered_map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    std::unordered_map<std::string, std::uint64_t> m_exchangeByToken; // exchange numbers
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_lastToken = 0;
    std::uint64_t m_currentExchange = 0; // exchange to which new tokens are assigned
};

} // namespace oriolehold::standins
