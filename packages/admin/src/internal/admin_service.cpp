#include "internal/admin_service.h"

#include "internal/write_timeout.h"
#include "oriolehold/runtime/log_events.h"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>

#include <array>
#include <exception>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <utility>

namespace oriolehold::admin::internal {

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t maxBodySize = 4096; // bytes
constexpr std::chrono::milliseconds writeTimeout { 500 };
constexpr const char *jsonType = "application/json";
constexpr const char *metricsType = "text/plain; version=0.0.4; charset=utf-8";

const char *reasonPhrase(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 500:
        return "Internal Server Error";
    default:
        return "Service Unavailable";
    }
}

admin_response plain(unsigned status, std::string text)
{
    return { status, "text/plain; charset=utf-8", std::move(text) + '\n' };
}

admin_response respondToDrain(status_source &source, std::string_view method,
                              std::string_view authorization)
{
    if (!source.drainEnabled())
        return plain(404, "no drain key is configured");
    if (method != "POST")
        return plain(405, "use POST");
    const bool hasKey = authorization.starts_with(bearer) && authorization.size() > bearer.size();
    if (!hasKey || !source.drain(authorization.substr(bearer.size()))) {
        runtime::log(runtime::log_event::drainDenied);
        return plain(403, "wrong key");
    }
    runtime::log(runtime::log_event::drainRequested);
    return plain(202, "draining");
}

class admin_responder : public cxxtools::http::Responder
{
public:
    admin_responder(cxxtools::http::Service &service, status_source &source)
        : Responder(service), m_source(source)
    { }

    void beginRequest(cxxtools::net::TcpSocket &socket, std::istream &,
                      cxxtools::http::Request &) override
    {
        setWriteTimeout(socket, writeTimeout);
    }

    // Discards the body; no request uses one.
    std::size_t readBody(std::istream &in) override
    {
        std::array<char, 4096> buffer {};
        std::size_t count = 0;
        while (in.rdbuf()->in_avail() > 0)
            count += static_cast<std::size_t>(in.readsome(buffer.data(), buffer.size()));
        m_bodySize += count;
        if (m_bodySize > maxBodySize)
            throw std::length_error("request body is too large"); // closes the connection
        return count;
    }

    void reply(std::ostream &out, cxxtools::http::Request &request,
               cxxtools::http::Reply &reply) override
    {
        const char *authorization = request.getHeader("Authorization");
        admin_response result;
        try {
            result = respond(m_source, request.method(), request.url(),
                             authorization == nullptr ? "" : authorization);
        } catch (const std::exception &error) {
            runtime::log(runtime::log_event::adminFailed, { { "error", error.what() } });
            result = plain(500, "internal error");
        }
        reply.httpReturn(result.status, reasonPhrase(result.status));
        reply.setHeader("Content-Type", result.contentType.c_str());
        out << result.body;
    }

private:
    status_source &m_source;
    std::size_t m_bodySize = 0;
};

} // namespace

admin_response respond(status_source &source, std::string_view method, std::string_view path,
                       std::string_view authorization)
{
    if (path == "/drain")
        return respondToDrain(source, method, authorization);
    if (method != "GET")
        return plain(405, "use GET");
    if (path == "/healthz")
        return plain(200, "ok");
    if (path == source.readyPath())
        return source.ready() ? plain(200, "ready") : plain(503, "not ready");
    if (path == "/metrics")
        return { 200, metricsType, source.metrics() };
    if (path == "/state")
        return { 200, jsonType, source.state() };
    if (path == "/v1/configuration") {
        std::string document = source.document();
        return document.empty() ? plain(503, "no document is in effect")
                                : admin_response { 200, jsonType, std::move(document) };
    }
    return plain(404, "no such page");
}

cxxtools::http::Responder *admin_service::createResponder(const cxxtools::http::Request &)
{
    return new admin_responder(*this, m_source);
}

void admin_service::releaseResponder(cxxtools::http::Responder *responder)
{
    delete responder;
}

} // namespace oriolehold::admin::internal
