#include "guide.h"

#include <algorithm>
#include <utility>

namespace oriolehold::standins {

namespace {

constexpr int maxRestarts = 5;
constexpr std::size_t maxRecordedPayload = 60;

} // namespace

guide::guide(guide_parameters parameters, coap_session_t *session, request_sender &sender)
    : m_parameters(std::move(parameters)), m_session(session), m_sender(sender)
{ }

void guide::start(std::int64_t nowUs)
{
    m_startUs = nowUs;
    m_deadlineUs = nowUs + m_parameters.deadlineMs * 1000;
    if (m_parameters.cancelDelayUs >= 0)
        m_cancelUs = nowUs + m_parameters.cancelDelayUs;
    requestBlock(nowUs);
}

void guide::requestBlock(std::int64_t nowUs)
{
    m_sender.releaseToken(m_token);
    m_token = m_sender.newToken(false);
    // The upstream runs the job before it sends the first block; the other blocks need no job.
    m_nextResendUs =
            nowUs + resendIntervalUs + (m_body.empty() ? m_parameters.deadlineMs * 1000 : 0);
    sendRequest();
}

outgoing_request guide::makeRequest() const
{
    outgoing_request request;
    request.path = { m_parameters.path, m_parameters.id };
    request.queries = { "id=" + m_parameters.id, "size=" + std::to_string(m_parameters.size),
                        "work=" + std::to_string(m_parameters.workUs),
                        "deadline=" + std::to_string(m_parameters.deadlineMs) };
    request.token = m_token;
    request.echo = m_echo;
    return request;
}

void guide::sendRequest()
{
    outgoing_request request = makeRequest();
    coap_block_t block {};
    block.szx = m_blockExponent & 7U;
    block.num = static_cast<unsigned>(m_body.size() >> (m_blockExponent + 4));
    request.block2 = block;
    m_sender.send(m_session, request);
}

void guide::cancel()
{
    m_cancelUs = INT64_MAX;
    if (m_echo.empty() || !m_body.empty())
        return;
    m_canceled = true;
    outgoing_request request = makeRequest();
    request.observe = COAP_OBSERVE_CANCEL;
    m_sender.send(m_session, request);
}

bool guide::receive(const incoming_response &response, std::int64_t nowUs)
{
    if (finished() || response.token != m_token)
        return true;
    if (response.echo)
        m_echo = *response.echo;
    if (response.isChallenge() && m_challenges < maxChallenges) {
        ++m_challenges;
        requestBlock(nowUs);
    } else if (response.code == COAP_RESPONSE_CODE_INCOMPLETE && m_restarts < maxRestarts) {
        restart(response.codeText() + " " + response.payload.substr(0, maxRecordedPayload), nowUs);
    } else if (response.codeClass() == 2) {
        receiveBlock(response, nowUs);
    } else {
        m_code = response.codeText();
        m_payload = response.payload.substr(0, maxRecordedPayload);
        finish(outcomeOf(response.code), nowUs);
    }
    return true;
}

void guide::receiveBlock(const incoming_response &response, std::int64_t nowUs)
{
    m_challenges = 0;
    const coap_block_t block = response.block2.value_or(coap_block_t {});
    const std::size_t offset = response.block2 ? std::size_t { block.num } << (block.szx + 4) : 0;
    const bool otherVersion = !m_body.empty() && response.etag != m_etag;
    if (otherVersion || offset != m_body.size()) {
        if (m_restarts < maxRestarts)
            restart(otherVersion ? "other ETag" : "other offset", nowUs);
        else
            finish("unknown", nowUs);
        return;
    }
    m_etag = response.etag;
    m_body += response.payload;
    if (block.m != 0) {
        m_blockExponent = block.szx;
        requestBlock(nowUs);
        return;
    }
    m_code = response.codeText();
    m_rightAnswer = m_body == largeBody(m_parameters.id, m_parameters.size);
    finish("done", nowUs);
}

void guide::restart(const std::string &reason, std::int64_t nowUs)
{
    m_lastRestart = reason;
    ++m_restarts;
    m_body.clear();
    m_etag.clear();
    requestBlock(nowUs);
}

void guide::receiveReset(const std::string & /*token*/, std::int64_t /*nowUs*/) { }

void guide::advance(std::int64_t nowUs)
{
    if (finished())
        return;
    if (nowUs >= m_deadlineUs + answerGraceUs) {
        finish("unanswered", nowUs);
    } else if (nowUs >= m_cancelUs) {
        cancel();
    } else if (nowUs >= m_nextResendUs) {
        m_nextResendUs = nowUs + resendIntervalUs;
        ++m_resends;
        sendRequest();
    }
}

std::int64_t guide::nextTimer() const
{
    return std::min({ m_nextResendUs, m_cancelUs, m_deadlineUs + answerGraceUs });
}

void guide::finish(std::string outcome, std::int64_t nowUs)
{
    m_outcome = std::move(outcome);
    m_endUs = nowUs;
    m_sender.releaseToken(m_token);
}

nlohmann::json guide::record(std::int64_t /*nowUs*/) const
{
    return { { "kind", "guide" },
             { "id", m_parameters.id },
             { "service", m_parameters.service },
             { "outcome", m_outcome },
             { "code", m_code },
             { "payload", m_payload },
             { "complete", m_outcome == "done" && m_body.size() == m_parameters.size },
             { "right_answer", m_rightAnswer },
             { "start_us", m_startUs },
             { "end_us", m_endUs },
             { "deadline_us", m_deadlineUs },
             { "work_us", m_parameters.workUs },
             { "canceled", m_canceled },
             { "received", m_body.size() },
             { "restarts", m_restarts },
             { "last_restart", m_lastRestart },
             { "resends", m_resends } };
}

} // namespace oriolehold::standins
