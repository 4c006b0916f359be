#pragma once

#include "oriolehold/coap/message.h"
#include "oriolehold/random_run/run_history.h"
#include "oriolehold/random_run/virtual_network.h"

#include <functional>
#include <memory>
#include <string>

// Callers that act as CoAP clients, with retransmission, Echo, separate responses, block-wise
// transfer and observation.

namespace oriolehold::random_run {

// Dependencies that all callers of a run share.
struct caller_context
{
    virtual_time &time;
    core::random_source &random;
    run_history &history;
    // Sends a packet from the caller's address to the address of the service.
    std::function<void(const core::endpoint &caller, core::service_id service,
                       core::byte_vector packet)>
            send;
};

// Base of the callers: one client address that uses one service.
class caller
{
public:
    caller(caller_context &context, core::endpoint address, core::service_id service)
        : m_context(context), m_address(address), m_service(service)
    { }
    virtual ~caller() = default;
    // Sends the first request.
    virtual void start() = 0;
    // Handles one datagram; a malformed one is ignored.
    virtual void receive(core::byte_view packet) = 0;

protected:
    core::byte_vector newToken();
    std::uint16_t newMessageId() { return m_nextMessageId++; }
    void send(core::byte_vector packet) { m_context.send(m_address, m_service, std::move(packet)); }
    // Sends a confirmable packet and retransmits it at doubled intervals until
    // stopRetransmission(). Runs onTimeout when the last interval ends. Replaces a retransmission
    // that is still running.
    void sendConfirmable(const core::byte_vector &packet, const std::function<void()> &onTimeout);
    void stopRetransmission() { ++m_transmission; }
    void acknowledge(const coap::message_view &message);
    // Keeps the Echo option of a response, if any, for the next request.
    void storeEcho(const coap::message_view &message);

    caller_context &m_context;
    core::endpoint m_address;
    core::service_id m_service;
    core::byte_vector m_echo;

private:
    void retransmit(const core::byte_vector &packet, std::uint64_t transmission, int attempt,
                    const std::function<void()> &onTimeout);

    std::uint16_t m_nextMessageId = 1;
    std::uint64_t m_transmission = 0; // number of the current retransmission; older ones stop
};

// Sends one non-idempotent request. Repeats it with the same Echo value and token if no answer
// arrives in time.
class order_caller final : public caller
{
public:
    order_caller(caller_context &context, core::endpoint address, core::service_id service,
                 std::string id);
    void start() override;
    void receive(core::byte_view packet) override;

private:
    void sendOrder();
    void handleAnswer(const coap::message_view &message);
    void handleTimeout();

    std::string m_id;
    core::byte_vector m_token;
    int m_challenges = 0;
    int m_repeats = 0;
    bool m_finished = false;
};

// Downloads one large body with block-wise transfer.
class guide_caller final : public caller
{
public:
    guide_caller(caller_context &context, core::endpoint address, core::service_id service,
                 std::string id, std::size_t size);
    void start() override;
    void receive(core::byte_view packet) override;

    // Returns the body, of the size in bytes, that the upstream model sends for the guide.
    static core::byte_vector content(std::string_view id, std::size_t size);

private:
    void requestBlock();
    void handleBlock(const coap::message_view &message);
    void fail();

    std::string m_id;
    std::size_t m_size; // bytes
    core::byte_vector m_token;
    core::byte_vector m_body;
    core::byte_vector m_etag;
    std::uint32_t m_nextBlock = 0;
    int m_restarts = 0;
    int m_challenges = 0;
    bool m_finished = false;
};

// Keeps one observation open until the end of the run and registers it again when it breaks.
class feed_caller final : public caller
{
public:
    feed_caller(caller_context &context, core::endpoint address, core::service_id service,
                std::string id);
    void start() override;
    void receive(core::byte_view packet) override;

private:
    void registerFeed();
    void handleNotification(const coap::message_view &message);
    // Treats a feed without notifications for too long as broken; runs periodically.
    void checkNotificationGap();
    // Records the break of an open feed and registers again.
    void handleBrokenFeed();

    std::string m_id;
    core::byte_vector m_token;
    bool m_open = false; // a notification has arrived since the last break
    bool m_hasSequence = false;
    std::uint32_t m_sequence = 0;
    core::time_point m_lastNotification;
    core::time_point m_lastRegistration;
};

} // namespace oriolehold::random_run
