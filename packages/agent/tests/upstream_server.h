#pragma once

#include "oriolehold/core/types.h"
#include "oriolehold/net/udp_socket.h"

#include <coap3/coap.h>

#include <arpa/inet.h>

#include <string>

namespace oriolehold::agent::testing {

inline constexpr std::uint32_t loopback = 0x7f000001;

// Returns an address whose port is free at the time of the call; libcoap does not report the port
// that it has bound.
inline core::endpoint freeAddress()
{
    return net::udp_socket({ loopback, 0 }).local();
}

// CoAP server that runs in the test's thread. Resources:
// GET guides   a large body, whose first block is sent only by answerGuide()
// POST orders  5.03 (Service Unavailable)
// GET stock    a feed whose state is set by publish()
class upstream_server
{
public:
    static constexpr std::size_t bodySize = 10'000;

    explicit upstream_server(const core::endpoint &address)
    {
        coap_startup();
        coap_set_log_level(LOG_CRIT);
        m_context = coap_new_context(nullptr);
        coap_set_app_data(m_context, this);
        coap_address_t local;
        coap_address_init(&local);
        local.size = sizeof(sockaddr_in);
        local.addr.sin.sin_family = AF_INET;
        local.addr.sin.sin_addr.s_addr = htonl(address.address);
        local.addr.sin.sin_port = htons(address.port);
        coap_new_endpoint(m_context, &local, COAP_PROTO_UDP);
        add("guides", COAP_REQUEST_GET, &upstream_server::handleGuide);
        add("orders", COAP_REQUEST_POST, &upstream_server::handleOrder);
        m_feed = add("stock", COAP_REQUEST_GET, &upstream_server::handleFeed);
        coap_resource_set_get_observable(m_feed, 1);
    }

    ~upstream_server()
    {
        if (m_guideSession != nullptr)
            coap_session_release(m_guideSession);
        coap_free_context(m_context);
    }

    upstream_server(const upstream_server &) = delete;
    upstream_server &operator=(const upstream_server &) = delete;

    void process() { coap_io_process(m_context, COAP_IO_NO_WAIT); }

    bool guideRequested() const { return m_guideSession != nullptr; }
    std::string body() const
    {
        std::string text;
        while (text.size() < bodySize)
            text += "line " + std::to_string(text.size()) + '\n';
        text.resize(bodySize);
        return text;
    }

    void answerGuide()
    {
        coap_pdu_t *response =
                coap_new_pdu(m_guideType, COAP_RESPONSE_CODE_CONTENT, m_guideSession);
        coap_add_token(response, m_guideToken.size(),
                       reinterpret_cast<const std::uint8_t *>(m_guideToken.data()));
        coap_block_t first {};
        first.szx = blockExponent;
        addBlock(response, first);
        coap_send(m_guideSession, response);
    }

    void publish(std::string state)
    {
        m_state = std::move(state);
        coap_resource_notify_observers(m_feed, nullptr);
    }

    // Calls of the feed's GET handler: registrations, cancellations and notifications, which
    // libcoap renders by this handler.
    int feedRequests() const { return m_feedRequests; }

private:
    static constexpr unsigned blockExponent = 6; // 1024 bytes

    static upstream_server &fromSession(const coap_session_t *session)
    {
        return *static_cast<upstream_server *>(
                coap_get_app_data(coap_session_get_context(session)));
    }

    coap_resource_t *add(const char *path, coap_request_t method, coap_method_handler_t handler)
    {
        coap_resource_t *resource = coap_resource_init(coap_make_str_const(path), 0);
        coap_register_request_handler(resource, method, handler);
        coap_add_resource(m_context, resource);
        return resource;
    }

    void addBlock(coap_pdu_t *response, coap_block_t block) const
    {
        const std::string text = body();
        const auto *data = reinterpret_cast<const std::uint8_t *>(text.data());
        const std::uint8_t etag = 1;
        coap_add_option(response, COAP_OPTION_ETAG, sizeof(etag), &etag);
        coap_write_block_opt(&block, COAP_OPTION_BLOCK2, response, text.size());
        coap_add_block(response, text.size(), data, block.num,
                       static_cast<unsigned char>(block.szx));
    }

    static void handleGuide(coap_resource_t * /*resource*/, coap_session_t *session,
                            const coap_pdu_t *request, const coap_string_t * /*query*/,
                            coap_pdu_t *response)
    {
        upstream_server &self = fromSession(session);
        coap_block_t block {};
        if (coap_get_block(request, COAP_OPTION_BLOCK2, &block) != 0 && block.num > 0) {
            coap_pdu_set_code(response, COAP_RESPONSE_CODE_CONTENT);
            self.addBlock(response, block);
            return;
        }
        if (self.m_guideSession != nullptr)
            return; // a retransmission
        // Without a response code libcoap sends an empty acknowledgement to a CON request and
        // nothing to a NON request.
        const coap_bin_const_t token = coap_pdu_get_token(request);
        self.m_guideToken.assign(reinterpret_cast<const char *>(token.s), token.length);
        self.m_guideType = coap_pdu_get_type(request);
        self.m_guideSession = coap_session_reference(session);
    }

    static void handleOrder(coap_resource_t * /*resource*/, coap_session_t * /*session*/,
                            const coap_pdu_t * /*request*/, const coap_string_t * /*query*/,
                            coap_pdu_t *response)
    {
        coap_pdu_set_code(response, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE);
    }

    static void handleFeed(coap_resource_t * /*resource*/, coap_session_t *session,
                           const coap_pdu_t * /*request*/, const coap_string_t * /*query*/,
                           coap_pdu_t *response)
    {
        upstream_server &self = fromSession(session);
        ++self.m_feedRequests;
        coap_pdu_set_code(response, COAP_RESPONSE_CODE_CONTENT);
        coap_add_data(response, self.m_state.size(),
                      reinterpret_cast<const std::uint8_t *>(self.m_state.data()));
    }

    coap_context_t *m_context = nullptr;
    coap_resource_t *m_feed = nullptr;
    coap_session_t *m_guideSession = nullptr;
    coap_pdu_type_t m_guideType = COAP_MESSAGE_NON;
    std::string m_guideToken;
    std::string m_state = "state 0";
    int m_feedRequests = 0;
};

} // namespace oriolehold::agent::testing
