#include "order.h"

#include <algorithm>
#include <utility>

namespace oriolehold::standins {

namespace {

// Limit of a diagnostic payload in the record, in bytes.
constexpr std::size_t maxRecordedPayload = 60;

bool matchesOrder(const std::string &payload, const order_parameters &parameters)
{
    const auto content = nlohmann::json::parse(payload, nullptr, false);
    return content.is_object() && content.value("id", "") == parameters.id
            && content.value("service", "") == parameters.service;
}

} // namespace

order::order(order_parameters parameters, coap_session_t *session, request_sender &sender)
    : m_parameters(std::move(parameters)), m_session(session), m_sender(sender)
{ }

void order::start(std::int64_t nowUs)
{
    m_startUs = nowUs;
    m_deadlineUs = nowUs + m_parameters.deadlineMs * 1000;
    m_nextResendUs = m_deadlineUs + resendIntervalUs;
    m_token = m_sender.newToken(false);
    sendRequest();
}

void order::sendRequest()
{
    outgoing_request request;
    request.method = COAP_REQUEST_POST;
    request.path = { m_parameters.path };
    request.queries = { "id=" + m_parameters.id, "work=" + std::to_string(m_parameters.workUs),
                        "deadline=" + std::to_string(m_parameters.deadlineMs) };
    request.token = m_token;
    request.echo = m_echo;
    request.payload = "order " + m_parameters.id;
    request.copies = m_parameters.duplicate ? 2 : 1;
    m_sender.send(m_session, request);
}

bool order::receive(const incoming_response &response, std::int64_t nowUs)
{
    if (finished() || response.token != m_token)
        return true;
    if (response.isChallenge() && m_challenges < maxChallenges) {
        ++m_challenges;
        m_echo = *response.echo;
        m_sender.releaseToken(m_token);
        m_token = m_sender.newToken(false);
        if (!isCanceled(nowUs))
            sendRequest();
        return true;
    }
    m_code = response.codeText();
    m_payload = response.payload.substr(0, maxRecordedPayload);
    m_rightAnswer = response.codeClass() != 2 || matchesOrder(response.payload, m_parameters);
    const bool canceled = isCanceled(nowUs);
    finish(outcomeOf(response.code), nowUs);
    return !canceled;
}

void order::receiveReset(const std::string & /*token*/, std::int64_t /*nowUs*/)
{
    m_reset = true;
}

void order::advance(std::int64_t nowUs)
{
    if (finished())
        return;
    if (nowUs >= m_deadlineUs + answerGraceUs) {
        finish("unanswered", nowUs);
    } else if (nowUs >= m_nextResendUs) {
        m_nextResendUs = nowUs + resendIntervalUs;
        if (!isCanceled(nowUs)) {
            ++m_resends;
            sendRequest();
        }
    }
}

std::int64_t order::nextTimer() const
{
    return std::min(m_nextResendUs, m_deadlineUs + answerGraceUs);
}

void order::finish(std::string outcome, std::int64_t nowUs)
{
    m_outcome = std::move(outcome);
    m_endUs = nowUs;
    m_sender.releaseToken(m_token);
}

bool order::isCanceled(std::int64_t nowUs) const
{
    return m_parameters.cancelDelayUs >= 0 && nowUs >= m_startUs + m_parameters.cancelDelayUs;
}

nlohmann::json order::record(std::int64_t /*nowUs*/) const
{
    return { { "kind", "order" },
             { "id", m_parameters.id },
             { "service", m_parameters.service },
             { "outcome", m_outcome },
             { "code", m_code },
             { "payload", m_payload },
             { "complete", m_outcome == "done" },
             { "right_answer", m_rightAnswer },
             { "start_us", m_startUs },
             { "end_us", m_endUs },
             { "deadline_us", m_deadlineUs },
             { "work_us", m_parameters.workUs },
             { "challenges", m_challenges },
             { "resends", m_resends },
             { "reset", m_reset },
             { "straggler", m_parameters.straggler },
             { "duplicated", m_parameters.duplicate },
             { "canceled", isCanceled(m_endUs) },
             { "attempt", m_parameters.attempt } };
}

} // namespace oriolehold::standins
