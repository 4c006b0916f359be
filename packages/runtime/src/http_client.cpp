#include "oriolehold/runtime/http_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <exception>
#include <istream>

namespace oriolehold::runtime {

namespace {

// Interval at which a request checks the stop flag.
constexpr std::chrono::milliseconds stopInterval { 100 };

// A body that keeps arriving may take this many times the timeout in all.
constexpr int maxTimeoutExtension = 4;

std::string hostOf(core::endpoint server)
{
    const std::string text = core::toString(server);
    return text.substr(0, text.find(':'));
}

// One request on a connection of its own. A selector drives it, so that it can be canceled.
class http_request : public cxxtools::Connectable
{
public:
    http_request(core::endpoint server, std::size_t maximumSize)
        : m_client(m_selector, hostOf(server), server.port), m_maximumSize(maximumSize)
    {
        cxxtools::connect(m_client.replyFinished, *this, &http_request::onFinished);
        cxxtools::connect(m_client.bodyAvailable, *this, &http_request::onBody);
    }

    std::optional<http_response> run(const std::string &path, const std::string &query,
                                     std::chrono::milliseconds timeout,
                                     const std::atomic<bool> &stopped)
    {
        using clock = std::chrono::steady_clock;
        cxxtools::http::Request request(path);
        request.qparams(query);
        request.setHeader("Connection", "close");
        const clock::time_point latestEnd = clock::now() + maxTimeoutExtension * timeout;
        clock::time_point end = clock::now() + timeout;
        std::size_t received = 0;
        m_client.beginExecute(request);
        while (!m_finished && !m_tooLarge && !stopped.load()) {
            // A large body takes long on a slow link; it is awaited as long as it arrives.
            if (m_body.size() > received)
                end = std::min(clock::now() + timeout, latestEnd);
            received = m_body.size();
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - clock::now());
            if (left.count() <= 0)
                return std::nullopt;
            const auto step = std::min(left, stopInterval);
            m_selector.wait(cxxtools::Milliseconds(static_cast<double>(step.count())));
        }
        if (!m_finished || m_tooLarge)
            return std::nullopt;
        return http_response { m_client.header().httpReturnCode(), std::move(m_body), headers() };
    }

private:
    std::map<std::string, std::string> headers() const
    {
        std::map<std::string, std::string> result;
        for (const auto &[name, value] : m_client.header()) {
            std::string key(name);
            std::ranges::transform(key, key.begin(), [](unsigned char letter) {
                return static_cast<char>(std::tolower(letter));
            });
            result[key] = value;
        }
        return result;
    }

    void onFinished(cxxtools::http::Client &client)
    {
        m_finished = true;
        client.endExecute();
    }

    std::size_t onBody(cxxtools::http::Client &client)
    {
        std::size_t total = 0;
        std::array<char, 4096> buffer {};
        while (client.in().rdbuf()->in_avail() > 0) {
            const auto count = client.in().readsome(buffer.data(), buffer.size());
            if (count <= 0)
                break;
            total += static_cast<std::size_t>(count);
            m_tooLarge =
                    m_tooLarge || m_body.size() + static_cast<std::size_t>(count) > m_maximumSize;
            if (!m_tooLarge)
                m_body.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return total;
    }

    cxxtools::Selector m_selector; // outlives the client
    cxxtools::http::Client m_client;
    std::size_t m_maximumSize;
    std::string m_body;
    bool m_finished = false;
    bool m_tooLarge = false;
};

} // namespace

std::optional<http_response> httpGet(core::endpoint server, const std::string &path,
                                     const std::string &query, std::size_t maximumSize,
                                     std::chrono::milliseconds timeout,
                                     const std::atomic<bool> &stopped)
{
    try {
        http_request request(server, maximumSize);
        return request.run(path, query, timeout, stopped);
    } catch (const std::exception &) {
        return std::nullopt; // cxxtools reports refused and broken connections as exceptions
    }
}

} // namespace oriolehold::runtime
