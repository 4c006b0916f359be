#include "oriolehold/random_run/caller_model.h"

#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace oriolehold::random_run {

namespace {

using namespace std::chrono_literals;

// CoAP transmission parameters (RFC 7252, section 4.8), without the random factor.
constexpr core::duration ackTimeout = 2s;
constexpr int maxRetransmissions = 4;

constexpr int maxChallenges = 6;
constexpr int maxGuideRestarts = 5;
constexpr int maxOrderRepeats = 1;
constexpr core::duration answerTimeout = 12s;      // after an empty acknowledgement
constexpr core::duration maxNotificationGap = 12s; // longest accepted gap between notifications
constexpr core::duration gapCheckInterval = 500ms;
constexpr std::uint8_t blockExponent = 6; // 1024 bytes

core::byte_vector toVector(core::byte_view view)
{
    return { view.begin(), view.end() };
}

bool isNewer(std::uint32_t sequence, std::uint32_t last)
{
    // RFC 7641, section 3.4, without the rule on the time of arrival.
    constexpr std::uint32_t half = 1u << 23;
    return (last < sequence && sequence - last < half)
            || (last > sequence && last - sequence > half);
}

core::outcome outcomeOf(const coap::message_view &message)
{
    if (message.code() == coap::message_code::serviceUnavailable)
        return core::outcome::notRun;
    if (message.code() == coap::message_code::gatewayTimeout)
        return core::outcome::unknown;
    return message.codeClass() == 2 ? core::outcome::done : core::outcome::rejected;
}

bool isChallenge(const coap::message_view &message)
{
    return message.code() == coap::message_code::unauthorized
            && message.option(coap::option_number::echo).has_value();
}

} // namespace

core::byte_vector caller::newToken()
{
    core::byte_vector token(8);
    std::ranges::generate(token,
                          [this] { return static_cast<std::uint8_t>(m_context.random.next()); });
    return token;
}

void caller::sendConfirmable(const core::byte_vector &packet,
                             const std::function<void()> &onTimeout)
{
    stopRetransmission();
    retransmit(packet, m_transmission, 0, onTimeout);
}

void caller::retransmit(const core::byte_vector &packet, std::uint64_t transmission, int attempt,
                        const std::function<void()> &onTimeout)
{
    if (transmission != m_transmission)
        return;
    if (attempt > maxRetransmissions) {
        stopRetransmission();
        onTimeout();
        return;
    }
    send(packet);
    m_context.time.after(ackTimeout * (1 << attempt),
                         [this, packet, transmission, attempt, onTimeout] {
                             retransmit(packet, transmission, attempt + 1, onTimeout);
                         });
}

void caller::acknowledge(const coap::message_view &message)
{
    if (message.type() == coap::message_type::confirmable)
        send(coap::message_builder(coap::message_type::acknowledgement, coap::message_code::empty,
                                   message.messageId())
                     .toVector());
}

void caller::storeEcho(const coap::message_view &message)
{
    if (const auto echo = message.option(coap::option_number::echo))
        m_echo = toVector(*echo);
}

order_caller::order_caller(caller_context &context, core::endpoint address,
                           core::service_id service, std::string id)
    : caller(context, address, service), m_id(std::move(id)), m_token(newToken())
{ }

void order_caller::start()
{
    m_context.history.orderSent(m_id, m_service);
    sendOrder();
}

void order_caller::sendOrder()
{
    coap::message_builder builder(coap::message_type::confirmable, coap::message_code::post,
                                  newMessageId(), m_token);
    builder.option(coap::option_number::uriPath, "orders")
            .option(coap::option_number::uriQuery, "id=" + m_id);
    if (!m_echo.empty())
        builder.option(coap::option_number::echo, m_echo);
    builder.payload(m_id);
    sendConfirmable(builder.toVector(), [this] { handleTimeout(); });
}

void order_caller::receive(core::byte_view packet)
{
    const auto message = coap::message_view::parse(packet);
    if (!message)
        return;
    if (message->isEmpty()) {
        if (message->type() == coap::message_type::acknowledgement) {
            stopRetransmission();
            m_context.time.after(answerTimeout, [this] { handleTimeout(); });
        }
        return;
    }
    if (!std::ranges::equal(message->token(), m_token))
        return;
    acknowledge(*message);
    if (!m_finished)
        handleAnswer(*message);
}

void order_caller::handleAnswer(const coap::message_view &message)
{
    if (isChallenge(message)) {
        // The order is sent again only if it cannot run under another ticket: after the first
        // challenge, or after one that the owner sent in place of an unbound token.
        const auto echo = toVector(*message.option(coap::option_number::echo));
        if (++m_challenges > maxChallenges || echo == m_echo)
            return;
        m_echo = echo;
        m_token = newToken();
        sendOrder();
        return;
    }
    stopRetransmission();
    m_finished = true;
    m_context.history.orderAnswered(m_id, outcomeOf(message),
                                    std::string(coap::asText(message.payload())));
}

void order_caller::handleTimeout()
{
    if (m_finished)
        return;
    if (m_repeats++ < maxOrderRepeats) {
        sendOrder();
        return;
    }
    m_finished = true;
    stopRetransmission();
    m_context.history.orderUnanswered(m_id);
}

guide_caller::guide_caller(caller_context &context, core::endpoint address,
                           core::service_id service, std::string id, std::size_t size)
    : caller(context, address, service), m_id(std::move(id)), m_size(size)
{ }

core::byte_vector guide_caller::content(std::string_view id, std::size_t size)
{
    core::byte_vector body(size);
    std::size_t position = 0;
    std::ranges::generate(body, [&] {
        const auto character = static_cast<unsigned char>(id[position % id.size()]);
        return static_cast<std::uint8_t>(character + position++ / id.size());
    });
    return body;
}

void guide_caller::start()
{
    requestBlock();
}

void guide_caller::requestBlock()
{
    m_token = newToken();
    coap::message_builder builder(coap::message_type::confirmable, coap::message_code::get,
                                  newMessageId(), m_token);
    builder.option(coap::option_number::uriPath, "guides")
            .option(coap::option_number::uriQuery, "id=" + m_id)
            .option(coap::option_number::uriQuery, "size=" + std::to_string(m_size))
            .block2({ m_nextBlock, false, blockExponent });
    if (!m_echo.empty())
        builder.option(coap::option_number::echo, m_echo);
    sendConfirmable(builder.toVector(), [this] { fail(); });
}

void guide_caller::receive(core::byte_view packet)
{
    const auto message = coap::message_view::parse(packet);
    if (!message || message->isEmpty())
        return;
    acknowledge(*message);
    if (m_finished || !std::ranges::equal(message->token(), m_token))
        return;
    storeEcho(*message);
    if (isChallenge(*message)) {
        if (++m_challenges > 100 * maxChallenges)
            fail();
        else
            requestBlock();
    } else if (message->code() == coap::message_code::content) {
        handleBlock(*message);
    } else if (++m_restarts > maxGuideRestarts) {
        fail();
    } else {
        // Not run, unknown or a lost body. A download is idempotent, so it starts again.
        m_body.clear();
        m_etag.clear();
        m_echo.clear();
        m_nextBlock = 0;
        stopRetransmission();
        m_context.time.after(500ms, [this] { requestBlock(); });
    }
}

void guide_caller::handleBlock(const coap::message_view &message)
{
    const coap::block_option block =
            message.block2().value_or(coap::block_option { 0, false, blockExponent });
    const auto etag =
            toVector(message.option(coap::option_number::etag).value_or(core::byte_view()));
    if (block.number != m_nextBlock)
        return;
    if (block.number > 0 && etag != m_etag) {
        m_body.clear();
        m_nextBlock = 0;
        requestBlock();
        return;
    }
    m_etag = etag;
    m_body.insert(m_body.end(), message.payload().begin(), message.payload().end());
    ++m_nextBlock;
    if (block.more) {
        requestBlock();
        return;
    }
    stopRetransmission();
    m_finished = true;
    m_context.history.guideFinished(m_body == content(m_id, m_size));
}

void guide_caller::fail()
{
    if (std::exchange(m_finished, true))
        return;
    stopRetransmission();
    m_context.history.guideFailed();
}

feed_caller::feed_caller(caller_context &context, core::endpoint address, core::service_id service,
                         std::string id)
    : caller(context, address, service), m_id(std::move(id))
{ }

void feed_caller::start()
{
    m_context.history.feedOpened();
    registerFeed();
    checkNotificationGap();
}

void feed_caller::registerFeed()
{
    m_token = newToken();
    m_hasSequence = false;
    m_lastRegistration = m_context.time.now();
    coap::message_builder builder(coap::message_type::confirmable, coap::message_code::get,
                                  newMessageId(), m_token);
    builder.uintOption(coap::option_number::observe, 0)
            .option(coap::option_number::uriPath, "stock")
            .option(coap::option_number::uriQuery, "id=" + m_id);
    if (!m_echo.empty())
        builder.option(coap::option_number::echo, m_echo);
    sendConfirmable(builder.toVector(), [this] { registerFeed(); });
}

void feed_caller::receive(core::byte_view packet)
{
    const auto message = coap::message_view::parse(packet);
    if (!message || message->isEmpty())
        return;
    if (!std::ranges::equal(message->token(), m_token)) {
        // RFC 7641: rejects a notification with an unknown token by a Reset.
        send(coap::message_builder(coap::message_type::reset, coap::message_code::empty,
                                   message->messageId())
                     .toVector());
        return;
    }
    acknowledge(*message);
    stopRetransmission();
    if (isChallenge(*message)) {
        storeEcho(*message);
        registerFeed();
    } else if (message->code() == coap::message_code::content) {
        handleNotification(*message);
    } else {
        handleBrokenFeed();
    }
}

void feed_caller::handleNotification(const coap::message_view &message)
{
    const auto sequence = message.uintOption(coap::option_number::observe);
    if (!sequence)
        return;
    m_open = true;
    m_lastNotification = m_context.time.now();
    m_context.history.notified();
    if (!m_hasSequence || isNewer(*sequence, m_sequence))
        m_sequence = *sequence;
    m_hasSequence = true;
}

void feed_caller::checkNotificationGap()
{
    const core::time_point now = m_context.time.now();
    if (m_open && now - m_lastNotification > maxNotificationGap)
        handleBrokenFeed();
    m_context.time.after(gapCheckInterval, [this] { checkNotificationGap(); });
}

void feed_caller::handleBrokenFeed()
{
    if (std::exchange(m_open, false))
        m_context.history.feedBroken();
    m_echo.clear();
    stopRetransmission();
    m_context.time.after(500ms, [this] { registerFeed(); });
}

} // namespace oriolehold::random_run
