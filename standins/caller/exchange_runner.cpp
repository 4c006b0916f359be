#include "exchange_runner.h"

#include <poll.h>

#include <algorithm>
#include <utility>

namespace oriolehold::standins {

namespace {

constexpr char feedTokenPrefix = 'f';
constexpr char requestTokenPrefix = 'o';
// NSTART (RFC 7252). A caller may have many outstanding requests; with libcoap's default of 1, they
// would be queued.
constexpr std::uint16_t maxOutstanding = 10'000;
constexpr std::size_t maxPduSize = 1400;

incoming_response toResponse(const coap_pdu_t *pdu)
{
    incoming_response response;
    response.code = coap_pdu_get_code(pdu);
    response.token = tokenOf(pdu);
    response.echo = optionValue(pdu, COAP_OPTION_ECHO);
    response.observe = uintOption(pdu, COAP_OPTION_OBSERVE);
    response.maxAge = uintOption(pdu, COAP_OPTION_MAXAGE);
    response.etag = optionValue(pdu, COAP_OPTION_ETAG).value_or("");
    coap_block_t block {};
    if (coap_get_block(pdu, COAP_OPTION_BLOCK2, &block) != 0)
        response.block2 = block;
    response.payload = payloadOf(pdu);
    return response;
}

std::uint32_t encoded(const coap_block_t &block)
{
    return block.num << 4U | block.m << 3U | block.szx;
}

void addContent(coap_pdu_t *pdu, const outgoing_request &request)
{
    addToken(pdu, request.token);
    if (request.observe)
        addUintOption(pdu, COAP_OPTION_OBSERVE, *request.observe);
    for (const std::string &segment : request.path)
        addOption(pdu, COAP_OPTION_URI_PATH, segment);
    for (const std::string &query : request.queries)
        addOption(pdu, COAP_OPTION_URI_QUERY, query);
    if (request.block2)
        addUintOption(pdu, COAP_OPTION_BLOCK2, encoded(*request.block2));
    if (!request.echo.empty())
        addOption(pdu, COAP_OPTION_ECHO, request.echo);
    addPayload(pdu, request.payload);
}

} // namespace

exchange_runner::exchange_runner(coap_context_t *context, std::int64_t ackTimeoutMs,
                                 finish_handler handler)
    : m_context(context), m_ackTimeoutMs(ackTimeoutMs), m_finishHandler(std::move(handler))
{
    coap_set_app_data(context, this);
    coap_register_response_handler(context, &exchange_runner::handleResponse);
    coap_register_nack_handler(context, &exchange_runner::handleNack);
}

exchange_runner::~exchange_runner()
{
    coap_register_response_handler(m_context, nullptr);
    coap_register_nack_handler(m_context, nullptr);
    for (const auto &[key, session] : m_sessions)
        coap_session_release(session);
}

coap_session_t *exchange_runner::session(std::size_t caller, const std::string &address)
{
    coap_session_t *&session = m_sessions[{ caller, address }];
    if (session == nullptr) {
        const coap_address_t target = toCoapAddress(address);
        session = coap_new_client_session(m_context, nullptr, &target, COAP_PROTO_UDP);
        if (session == nullptr)
            throw std::runtime_error("cannot open a session to " + address);
        coap_session_set_nstart(session, maxOutstanding);
        coap_session_set_ack_timeout(session,
                                     { static_cast<std::uint16_t>(m_ackTimeoutMs / 1000),
                                       static_cast<std::uint16_t>(m_ackTimeoutMs % 1000) });
    }
    return session;
}

void exchange_runner::add(std::unique_ptr<exchange> exchange, std::int64_t nowUs)
{
    const std::uint64_t number = ++m_lastExchange;
    m_currentExchange = number;
    auto &item = *m_exchanges.emplace(number, std::move(exchange)).first->second;
    item.start(nowUs);
    schedule(number);
}

void exchange_runner::run(std::int64_t untilUs)
{
    const std::int64_t nowUs = unixMicroseconds();
    const std::int64_t nextUs =
            m_timers.empty() ? untilUs : std::min(untilUs, m_timers.top().timeUs);
    const std::int64_t waitUs = std::clamp<std::int64_t>(nextUs - nowUs, 0, 100'000);
    const timespec wait { 0, waitUs * 1000 };
    pollfd descriptor { coap_context_get_coap_fd(m_context), POLLIN, 0 };
    if (ppoll(&descriptor, 1, &wait, nullptr) > 0)
        coap_io_process(m_context, COAP_IO_NO_WAIT);
    runTimers(unixMicroseconds());
}

void exchange_runner::runTimers(std::int64_t nowUs)
{
    while (!m_timers.empty() && m_timers.top().timeUs <= nowUs) {
        const std::uint64_t number = m_timers.top().number;
        m_timers.pop();
        const auto found = m_exchanges.find(number);
        if (found == m_exchanges.end())
            continue;
        if (found->second->nextTimer() <= nowUs) {
            m_currentExchange = number;
            found->second->advance(nowUs);
        }
        schedule(number);
        finishIfDone(number, nowUs);
    }
}

void exchange_runner::schedule(std::uint64_t number)
{
    m_timers.push({ m_exchanges.at(number)->nextTimer(), number });
}

void exchange_runner::finishIfDone(std::uint64_t number, std::int64_t nowUs)
{
    const auto found = m_exchanges.find(number);
    if (found == m_exchanges.end() || !found->second->finished())
        return;
    const std::unique_ptr<exchange> item = std::move(found->second);
    m_exchanges.erase(found);
    m_finishHandler(*item, nowUs);
}

void exchange_runner::forEach(const std::function<void(exchange &)> &visitor)
{
    for (auto &[number, item] : m_exchanges)
        visitor(*item);
}

std::string exchange_runner::newToken(bool forFeed)
{
    std::string token(8, forFeed ? feedTokenPrefix : requestTokenPrefix);
    std::uint64_t value = ++m_lastToken;
    for (std::size_t index = token.size() - 1; index > 0; --index, value >>= 8)
        token[index] = static_cast<char>(value & 0xff);
    m_exchangeByToken[token] = m_currentExchange;
    return token;
}

void exchange_runner::releaseToken(const std::string &token)
{
    m_exchangeByToken.erase(token);
}

void exchange_runner::send(coap_session_t *session, const outgoing_request &request)
{
    const std::uint16_t messageId = coap_new_message_id(session);
    for (int copy = 0; copy < request.copies; ++copy) {
        coap_pdu_t *pdu =
                coap_pdu_init(COAP_MESSAGE_CON, static_cast<coap_pdu_code_t>(request.method),
                              messageId, maxPduSize);
        addContent(pdu, request);
        coap_send(session, pdu);
    }
}

exchange *exchange_runner::findByToken(const std::string &token)
{
    const auto position = m_exchangeByToken.find(token);
    if (position == m_exchangeByToken.end())
        return nullptr;
    const auto found = m_exchanges.find(position->second);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

coap_response_t exchange_runner::handleResponse(coap_session_t *session,
                                                const coap_pdu_t * /*sent*/,
                                                const coap_pdu_t *received, coap_mid_t /*mid*/)
{
    auto &self =
            *static_cast<exchange_runner *>(coap_get_app_data(coap_session_get_context(session)));
    const std::int64_t nowUs = unixMicroseconds();
    const incoming_response response = toResponse(received);
    exchange *item = self.findByToken(response.token);
    bool wanted = !response.token.starts_with(feedTokenPrefix);
    if (item != nullptr) {
        const std::uint64_t number = self.m_exchangeByToken.at(response.token);
        self.m_currentExchange = number;
        wanted = item->receive(response, nowUs);
        self.schedule(number);
        self.finishIfDone(number, nowUs);
    }
    // An ACK must not be answered with RST.
    const bool isAcknowledgement = coap_pdu_get_type(received) == COAP_MESSAGE_ACK;
    return wanted || isAcknowledgement ? COAP_RESPONSE_OK : COAP_RESPONSE_FAIL;
}

void exchange_runner::handleNack(coap_session_t *session, const coap_pdu_t *sent,
                                 coap_nack_reason_t reason, coap_mid_t /*mid*/)
{
    auto &self =
            *static_cast<exchange_runner *>(coap_get_app_data(coap_session_get_context(session)));
    if (reason != COAP_NACK_RST || sent == nullptr)
        return;
    const std::string token = tokenOf(sent);
    if (exchange *item = self.findByToken(token)) {
        const std::uint64_t number = self.m_exchangeByToken.at(token);
        self.m_currentExchange = number;
        item->receiveReset(token, unixMicroseconds());
        self.schedule(number);
    }
}

} // namespace oriolehold::standins
