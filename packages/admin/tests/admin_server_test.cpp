#include "oriolehold/admin/admin_server.h"

#include "internal/admin_service.h"

#include <arpa/inet.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <tuple>
#include <vector>

// Redefines new, so it comes after all other headers.
#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using admin::internal::respond;

namespace {

class fake_status_source final : public admin::status_source
{
public:
    bool ready() const override { return isReady; }
    std::string metrics() const override { return metricsText; }
    std::string state() const override { throw std::runtime_error("state is not available"); }
    std::string document() const override { return documentText; }
    bool drainEnabled() const override { return !key.empty(); }
    bool drain(std::string_view presented) override
    {
        const bool matches = admin::matchesKey(key, presented);
        acceptedDrains += matches ? 1 : 0;
        return matches;
    }

    bool isReady = false;
    std::string metricsText = "up 1\n";
    std::string documentText;
    std::string key = "correct horse";
    int acceptedDrains = 0;
};

// TCP socket that is bound to a free loopback port or connected to a server.
class test_socket
{
public:
    test_socket() : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0)) { }
    ~test_socket() { ::close(m_descriptor); }
    test_socket(const test_socket &) = delete;
    test_socket &operator=(const test_socket &) = delete;

    core::endpoint bindFree()
    {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        std::ignore = ::bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), size);
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        return { INADDR_LOOPBACK, ntohs(address.sin_port) };
    }
    // Sends a request and never reads the response.
    void requestWithoutReading(core::endpoint server, std::string_view path)
    {
        const int bufferSize = 2048;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &bufferSize, sizeof bufferSize);
        sockaddr_in address = loopback(server.port);
        std::ignore =
                ::connect(m_descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address);
        const std::string request = "GET " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n\r\n";
        ::send(m_descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    int m_descriptor;
};

} // namespace

TEST_GROUP(admin_server)
{
    fake_status_source source;
    core::endpoint address = test_socket().bindFree();

    unsigned status(const char *method, const char *path, const char *authorization = nullptr)
    {
        cxxtools::http::Client client("127.0.0.1", address.port);
        cxxtools::http::Request request(path);
        request.method(method);
        if (authorization != nullptr)
            request.setHeader("Authorization", authorization);
        return client.execute(request, cxxtools::Milliseconds(10000)).httpReturnCode();
    }
};

TEST(admin_server, ReadinessReflectsTheStatusSource)
{
    UNSIGNED_LONGS_EQUAL(503, respond(source, "GET", "/readyz", "").status);
    source.isReady = true;
    UNSIGNED_LONGS_EQUAL(200, respond(source, "GET", "/readyz", "").status);
}

TEST(admin_server, ServesTheDocumentOnlyWhenThereIsOne)
{
    UNSIGNED_LONGS_EQUAL(503, respond(source, "GET", "/v1/configuration", "").status);
    source.documentText = "{}";
    STRCMP_EQUAL("{}", respond(source, "GET", "/v1/configuration", "").body.c_str());
}

TEST(admin_server, UnknownPathsAndMethodsAreRejected)
{
    UNSIGNED_LONGS_EQUAL(404, respond(source, "GET", "/", "").status);
    UNSIGNED_LONGS_EQUAL(405, respond(source, "POST", "/healthz", "").status);
    UNSIGNED_LONGS_EQUAL(405, respond(source, "GET", "/drain", "Bearer correct horse").status);
    LONGS_EQUAL(0, source.acceptedDrains);
}

TEST(admin_server, DrainRequiresTheExactKey)
{
    for (const char *value : { "", "Bearer", "Bearer ", "Bearer correct", "correct horse",
                               "Basic correct horse", "Bearer correct horse " })
        UNSIGNED_LONGS_EQUAL(403, respond(source, "POST", "/drain", value).status);
    LONGS_EQUAL(0, source.acceptedDrains);
    UNSIGNED_LONGS_EQUAL(202, respond(source, "POST", "/drain", "Bearer correct horse").status);
    LONGS_EQUAL(1, source.acceptedDrains);
}

TEST(admin_server, DrainIsDisabledWithoutAConfiguredKey)
{
    source.key.clear();
    UNSIGNED_LONGS_EQUAL(404, respond(source, "POST", "/drain", "Bearer ").status);
    CHECK_FALSE(admin::matchesKey("", ""));
}

TEST(admin_server, AnswersOverHttp)
{
    admin::admin_server server(address, source);
    server.start();
    UNSIGNED_LONGS_EQUAL(200, status("GET", "/healthz"));
    UNSIGNED_LONGS_EQUAL(404, status("GET", "/nothing"));
    UNSIGNED_LONGS_EQUAL(403, status("POST", "/drain", "Bearer wrong"));
    UNSIGNED_LONGS_EQUAL(202, status("POST", "/drain", "Bearer correct horse"));
}

TEST(admin_server, FailureOfTheSourceFailsOnlyThatRequest)
{
    admin::admin_server server(address, source);
    server.start();
    UNSIGNED_LONGS_EQUAL(500, status("GET", "/state"));
    UNSIGNED_LONGS_EQUAL(200, status("GET", "/healthz"));
}

TEST(admin_server, AddressInUseFailsAtStart)
{
    admin::admin_server first(address, source);
    admin::admin_server second(address, source);
    first.start();
    bool failed = false;
    try {
        second.start();
    } catch (const std::exception &) {
        failed = true;
    }
    CHECK_TRUE(failed);
}

TEST(admin_server, ClientsThatNeverReadBlockNeitherOthersNorStop)
{
    source.metricsText.assign(8'000'000, 'x'); // more than the socket buffers hold
    admin::admin_server server(address, source);
    server.start();
    std::vector<test_socket> readers(32);
    for (test_socket &reader : readers)
        reader.requestWithoutReading(address, "/metrics");
    UNSIGNED_LONGS_EQUAL(200, status("GET", "/healthz"));
    const auto began = std::chrono::steady_clock::now();
    server.stop();
    CHECK_TRUE(std::chrono::steady_clock::now() - began < std::chrono::seconds { 3 });
}
