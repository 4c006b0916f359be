#pragma once

#include "exchange.h"

#include <limits>

namespace oriolehold::standins {

struct feed_parameters
{
    std::string id;
    std::string service;
    std::string path;
};

// An observation of a resource (RFC 7641). It counts as broken after an error response, the end of
// the observation, a long time without a new state, or if it had to be registered again.
//
// All feeds observe the same resource with the same request, as the vendors' phones do; only their
// endpoints and tokens differ.
class feed final : public exchange
{
public:
    feed(feed_parameters parameters, coap_session_t *session, request_sender &sender);

    void start(std::int64_t nowUs) override;
    bool receive(const incoming_response &response, std::int64_t nowUs) override;
    void receiveReset(const std::string &token, std::int64_t nowUs) override;
    void advance(std::int64_t nowUs) override;
    std::int64_t nextTimer() const override
    {
        return m_ended ? std::numeric_limits<std::int64_t>::max() : m_nextRegistrationUs;
    }
    bool finished() const override { return false; }
    nlohmann::json record(std::int64_t nowUs) const override;

    // Ends the observation with a GET with Observe 1.
    void deregister();

private:
    bool established() const { return !m_token.empty(); }
    void beginRegistration(std::int64_t nowUs);
    void sendRegistration();
    void receiveState(const incoming_response &response, std::int64_t nowUs);
    void fail(std::int64_t nowUs, const std::string &reason);
    bool isNewer(std::uint32_t sequence, std::int64_t nowUs) const;

    feed_parameters m_parameters;
    coap_session_t *m_session;
    request_sender &m_sender;
    std::string m_token;        // of the established observation
    std::string m_pendingToken; // of an unanswered registration
    std::string m_echo;
    int m_challenges = 0;
    std::int64_t m_startUs = 0;
    std::int64_t m_establishedUs = 0;
    std::int64_t m_lastContactUs = 0;
    std::int64_t m_nextRegistrationUs = 0;
    bool m_ended = false;            // deregistered; no further registrations
    std::int64_t m_longestGapUs = 0; // between any two notifications
    std::int64_t m_lastChangeUs = 0;
    std::int64_t m_longestStandstillUs = 0; // between two different states
    std::string m_lastState;
    std::uint32_t m_sequence = 0;
    std::uint64_t m_notifications = 0;
    std::uint64_t m_staleNotifications = 0;
    std::uint64_t m_wrongService = 0;
    std::string m_wrongState; // first payload that is not a state of the service
    int m_registrations = 0;
    int m_reRegistrations = 0;
    int m_errors = 0;
    std::string m_firstError;
    nlohmann::json m_upstreams = nlohmann::json::array(); // [time, upstream] at each change
};

} // namespace oriolehold::standins
