#pragma once

#include "oriolehold/core/types.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <string>
#include <thread>
#include <tuple>

// HTTP server on a free loopback port with responses from a handler of the test.

namespace oriolehold::runtime::testing {

// A loopback address with a TCP port that is free at the time of the call.
inline core::endpoint freeAddress()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    std::ignore = ::bind(descriptor, generic, size);
    ::getsockname(descriptor, generic, &size);
    ::close(descriptor);
    return { INADDR_LOOPBACK, ntohs(address.sin_port) };
}

struct fake_response
{
    unsigned status = 200;
    std::string body;
    std::map<std::string, std::string> headers {};
};

class fake_http_server
{
public:
    // Returns the response for a path with query; called from several threads.
    using handler = std::function<fake_response(const std::string &)>;

    explicit fake_http_server(handler handle)
        : address(freeAddress()), m_service(std::move(handle)),
          m_server(m_loop, "127.0.0.1", address.port)
    {
        m_server.addService(cxxtools::Regex(".*"), m_service);
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~fake_http_server()
    {
        m_loop.exit();
        m_thread.join();
    }

    const core::endpoint address;

private:
    class fake_responder : public cxxtools::http::Responder
    {
    public:
        fake_responder(cxxtools::http::Service &service, const handler &handle)
            : Responder(service), m_handle(handle)
        { }
        void reply(std::ostream &out, cxxtools::http::Request &request,
                   cxxtools::http::Reply &reply) override
        {
            const fake_response response = m_handle(request.header().query());
            reply.httpReturn(response.status, "test");
            for (const auto &[name, value] : response.headers)
                reply.setHeader(name.c_str(), value.c_str());
            out << response.body;
        }

    private:
        const handler &m_handle;
    };

    class fake_service : public cxxtools::http::Service
    {
    public:
        explicit fake_service(handler handle) : m_handle(std::move(handle)) { }

    protected:
        cxxtools::http::Responder *createResponder(const cxxtools::http::Request &) override
        {
            return new fake_responder(*this, m_handle);
        }
        void releaseResponder(cxxtools::http::Responder *responder) override { delete responder; }

    private:
        handler m_handle;
    };

    fake_service m_service;
    cxxtools::EventLoop m_loop;
    cxxtools::http::Server m_server;
    std::thread m_thread;
};

} // namespace oriolehold::runtime::testing
