#include "oriolehold/admin/admin_server.h"

#include "internal/admin_service.h"
#include "oriolehold/runtime/log_events.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/regex.h>
#include <sodium.h>

#include <atomic>
#include <chrono>
#include <exception>
#include <thread>

namespace oriolehold::admin {

namespace {

// A slow connection occupies one of these threads until a timeout. The number is fixed, because
// cxxtools does not join a thread that ends early while the server stops.
constexpr unsigned threadCount = 8;
constexpr std::chrono::milliseconds retryInterval { 100 }; // after an error of the event loop
constexpr double readTimeout = 1000;                       // milliseconds
constexpr double writeTimeout = 2000;                      // milliseconds
constexpr double keepAliveTimeout = 5000;                  // milliseconds

std::string hostOf(core::endpoint address)
{
    const std::string text = core::toString(address);
    return text.substr(0, text.find(':'));
}

} // namespace

bool matchesKey(std::string_view configured, std::string_view presented)
{
    return !configured.empty() && configured.size() == presented.size()
            && sodium_memcmp(configured.data(), presented.data(), configured.size()) == 0;
}

class admin_server::implementation
{
public:
    implementation(std::span<const core::endpoint> addresses, status_source &source)
        : m_service(source), m_server(m_loop)
    {
        // Listens here and not in the constructor of m_server, which leaks memory if the address is
        // in use.
        for (const core::endpoint &address : addresses)
            m_server.listen(hostOf(address), address.port);
        m_server.minThreads(threadCount);
        m_server.maxThreads(threadCount);
        m_server.readTimeout(cxxtools::Milliseconds(readTimeout));
        m_server.writeTimeout(cxxtools::Milliseconds(writeTimeout));
        m_server.keepAliveTimeout(cxxtools::Milliseconds(keepAliveTimeout));
        m_server.addService(cxxtools::Regex(".*"), m_service);
        m_thread = std::thread([this] { run(); });
    }

    ~implementation()
    {
        m_stopped.store(true);
        m_loop.exit();
        m_thread.join();
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

private:
    void run()
    {
        while (!m_stopped.load()) {
            try {
                m_loop.run();
                return;
            } catch (const std::exception &error) {
                // For example, no file descriptor is left for a new connection.
                runtime::log(runtime::log_event::adminFailed, { { "error", error.what() } });
                std::this_thread::sleep_for(retryInterval);
            }
        }
    }

    std::atomic<bool> m_stopped { false };
    internal::admin_service m_service;
    cxxtools::EventLoop m_loop;
    cxxtools::http::Server m_server;
    std::thread m_thread;
};

admin_server::admin_server(std::vector<core::endpoint> listen, status_source &source)
    : m_listen(std::move(listen)), m_source(source)
{ }

admin_server::~admin_server() = default;

void admin_server::start()
{
    if (m_implementation)
        return;
    m_implementation = std::make_unique<implementation>(m_listen, m_source);
    for (const core::endpoint &address : m_listen)
        runtime::log(runtime::log_event::adminListening,
                     { { "address", core::toString(address) } });
}

void admin_server::stop()
{
    m_implementation.reset();
}

} // namespace oriolehold::admin
