#include "feed.h"

#include <algorithm>
#include <utility>

namespace oriolehold::standins {

namespace {

// A feed without a new state for longer counts as broken; by default, upstreams publish a new state
// every second.
constexpr std::int64_t maxStandstillUs = 12'000'000;
// Time after the Max-Age of the last notification at which the feed is registered again.
constexpr std::int64_t registrationGraceUs = 2'000'000;
// Time after which an unanswered registration is repeated.
constexpr std::int64_t registrationTimeoutUs = 5'000'000;
// Delay before a refused registration is repeated.
constexpr std::int64_t registrationRetryDelayUs = 1'000'000;
constexpr std::int64_t defaultMaxAge = 60; // seconds, RFC 7252
// RFC 7641, section 3.4: a notification is newer if its sequence number is, or if it arrives more
// than this time after the last one.
constexpr std::int64_t sequenceLifetimeUs = 128'000'000;
constexpr std::uint32_t sequenceHalf = 1U << 23;

} // namespace

feed::feed(feed_parameters parameters, coap_session_t *session, request_sender &sender)
    : m_parameters(std::move(parameters)), m_session(session), m_sender(sender)
{ }

void feed::start(std::int64_t nowUs)
{
    m_startUs = nowUs;
    beginRegistration(nowUs);
}

void feed::beginRegistration(std::int64_t nowUs)
{
    ++m_registrations;
    m_challenges = 0;
    m_nextRegistrationUs = nowUs + registrationTimeoutUs;
    sendRegistration();
}

void feed::sendRegistration()
{
    m_sender.releaseToken(m_pendingToken);
    m_pendingToken = m_sender.newToken(true);
    outgoing_request request;
    request.path = { m_parameters.path };
    request.observe = COAP_OBSERVE_ESTABLISH;
    request.token = m_pendingToken;
    request.echo = m_echo;
    m_sender.send(m_session, request);
}

bool feed::receive(const incoming_response &response, std::int64_t nowUs)
{
    // A notification that arrives after the end is answered with RST.
    if (m_ended)
        return !response.observe.has_value();
    if (response.echo)
        m_echo = *response.echo;
    const bool pending = response.token == m_pendingToken;
    if (pending && response.isChallenge() && m_challenges < maxChallenges) {
        ++m_challenges;
        sendRegistration();
        return true;
    }
    if (response.code != COAP_RESPONSE_CODE_CONTENT || !response.observe) {
        const bool wasEstablished = established();
        fail(nowUs, response.codeText() + " " + response.payload.substr(0, 60));
        return !wasEstablished || pending;
    }
    if (pending) {
        m_sender.releaseToken(m_token);
        m_token = std::exchange(m_pendingToken, {});
        if (m_establishedUs == 0)
            m_establishedUs = m_lastContactUs = m_lastChangeUs = nowUs;
        m_sequence = *response.observe;
    }
    receiveState(response, nowUs);
    return true;
}

void feed::receiveState(const incoming_response &response, std::int64_t nowUs)
{
    if (m_notifications > 0 && !isNewer(*response.observe, nowUs)) {
        ++m_staleNotifications;
    } else {
        m_sequence = *response.observe;
    }
    ++m_notifications;
    m_longestGapUs = std::max(m_longestGapUs, nowUs - m_lastContactUs);
    m_lastContactUs = nowUs;
    const std::int64_t maxAge = response.maxAge ? std::int64_t { *response.maxAge } : defaultMaxAge;
    m_nextRegistrationUs = nowUs + maxAge * 1'000'000 + registrationGraceUs;

    const auto state = nlohmann::json::parse(response.payload, nullptr, false);
    if (!state.is_object() || state.value("service", "") != m_parameters.service) {
        if (++m_wrongService == 1)
            m_wrongState = response.codeText() + " " + response.payload.substr(0, 120);
        return;
    }
    if (response.payload != m_lastState) {
        m_lastState = response.payload;
        m_longestStandstillUs = std::max(m_longestStandstillUs, nowUs - m_lastChangeUs);
        m_lastChangeUs = nowUs;
    }
    const std::string upstream = state.value("upstream", "");
    if (m_upstreams.empty() || m_upstreams.back()[1] != upstream)
        m_upstreams.push_back({ nowUs, upstream });
}

bool feed::isNewer(std::uint32_t sequence, std::int64_t nowUs) const
{
    if (nowUs > m_lastContactUs + sequenceLifetimeUs)
        return true;
    return sequence > m_sequence ? sequence - m_sequence < sequenceHalf
                                 : m_sequence - sequence > sequenceHalf;
}

void feed::fail(std::int64_t nowUs, const std::string &reason)
{
    if (established()) {
        ++m_errors;
        if (m_firstError.empty())
            m_firstError = reason;
    }
    m_sender.releaseToken(m_token);
    m_sender.releaseToken(m_pendingToken);
    m_token.clear();
    m_pendingToken.clear();
    m_nextRegistrationUs = nowUs + registrationRetryDelayUs;
}

void feed::receiveReset(const std::string &token, std::int64_t nowUs)
{
    if (token == m_pendingToken || token == m_token)
        fail(nowUs, "RST");
}

void feed::advance(std::int64_t nowUs)
{
    if (m_ended || nowUs < m_nextRegistrationUs)
        return;
    if (m_establishedUs != 0)
        ++m_reRegistrations;
    beginRegistration(nowUs);
}

void feed::deregister()
{
    m_ended = true;
    if (!established())
        return;
    outgoing_request request;
    request.path = { m_parameters.path };
    request.observe = COAP_OBSERVE_CANCEL;
    request.token = m_token;
    request.echo = m_echo;
    m_sender.send(m_session, request);
}

nlohmann::json feed::record(std::int64_t nowUs) const
{
    const bool wasEstablished = m_establishedUs != 0;
    const std::int64_t lastUs = wasEstablished ? m_lastContactUs : m_startUs;
    const std::int64_t gapUs = std::max(m_longestGapUs, nowUs - lastUs);
    const std::int64_t changeUs = wasEstablished ? m_lastChangeUs : m_startUs;
    const std::int64_t standstillUs = std::max(m_longestStandstillUs, nowUs - changeUs);
    const bool broken = m_errors > 0 || m_reRegistrations > 0 || standstillUs > maxStandstillUs;
    return { { "kind", "feed" },
             { "id", m_parameters.id },
             { "service", m_parameters.service },
             { "outcome", wasEstablished ? "done" : "unanswered" },
             { "broken", broken },
             { "start_us", m_startUs },
             { "established_us", m_establishedUs },
             { "end_us", nowUs },
             { "notifications", m_notifications },
             { "stale_notifications", m_staleNotifications },
             { "longest_gap_us", gapUs },
             { "longest_standstill_us", standstillUs },
             { "registrations", m_registrations },
             { "re_registrations", m_reRegistrations },
             { "errors", m_errors },
             { "first_error", m_firstError },
             { "wrong_service", m_wrongService },
             { "wrong_state", m_wrongState },
             { "upstreams", m_upstreams } };
}

} // namespace oriolehold::standins
