#include "document_store.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <iostream>
#include <ostream>
#include <thread>

// Stand-in for the platform's configuration service. Serves configuration and instance documents
// from files over HTTP, supports long-polling and simulates faults.

namespace {

constexpr unsigned maxThreads = 600; // each waiting read occupies a thread
constexpr std::uint64_t maxWaitSeconds = 60;
constexpr auto refreshInterval = std::chrono::milliseconds { 20 };
constexpr int exitInvalidOptions = 2;

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

const char *reasonOf(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 304:
        return "Not Modified";
    case 405:
        return "Method Not Allowed";
    default:
        return "Service Unavailable";
    }
}

class read_responder : public cxxtools::http::Responder
{
public:
    read_responder(cxxtools::http::Service &service, standin::document_store &store)
        : Responder(service), m_store(store)
    { }

    void reply(std::ostream &out, cxxtools::http::Request &request,
               cxxtools::http::Reply &reply) override
    {
        const standin::read_response response = read(request);
        reply.httpReturn(response.status, reasonOf(response.status));
        reply.setHeader("Content-Type", "application/json");
        out << response.text;
    }

private:
    standin::read_response read(const cxxtools::http::Request &request)
    {
        if (request.method() != "GET")
            return { 405, {} };
        if (request.url() == "/v1/instances")
            return m_store.instances();
        const cxxtools::QueryParams query(request.qparams());
        const std::uint64_t wait = std::min(parseNumber(query.param("wait", "0")), maxWaitSeconds);
        return m_store.configuration(parseNumber(query.param("after", "0")),
                                     std::chrono::seconds { wait });
    }

    standin::document_store &m_store;
};

class read_service : public cxxtools::http::Service
{
public:
    explicit read_service(standin::document_store &store) : m_store(store) { }

protected:
    cxxtools::http::Responder *createResponder(const cxxtools::http::Request &) override
    {
        return new read_responder(*this, m_store);
    }
    void releaseResponder(cxxtools::http::Responder *responder) override { delete responder; }

private:
    standin::document_store &m_store;
};

void run(const std::string &listen, const std::string &directory)
{
    // Blocked in all threads, so that only sigtimedwait() receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    standin::document_store store(directory);
    read_service service(store);
    cxxtools::EventLoop loop;
    const std::size_t colon = listen.find(':');
    const auto port = static_cast<unsigned short>(parseNumber(listen.substr(colon + 1)));
    cxxtools::http::Server server(loop, listen.substr(0, colon), port);
    server.maxThreads(maxThreads);
    server.addService("/v1/configuration", service);
    server.addService("/v1/instances", service);
    std::thread thread([&loop] { loop.run(); });

    timespec interval {};
    interval.tv_nsec = std::chrono::nanoseconds(refreshInterval).count();
    while (sigtimedwait(&signals, nullptr, &interval) < 0)
        store.refresh();
    store.stop();
    loop.exit();
    thread.join();
    std::cout << "reads=" << store.reads() << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine parser("Example: standin-platform --listen 127.0.0.1:18000 --directory run",
                              ' ', "0.1.0");
        TCLAP::ValueArg<std::string> listen("", "listen", "Address of the HTTP server", true, "",
                                            "IP:PORT", parser);
        TCLAP::ValueArg<std::string> directory(
                "", "directory", "Folder of configuration.json, instances.json and mode", true, "",
                "DIR", parser);
        parser.setExceptionHandling(false);
        parser.parse(argc, argv);
        run(listen.getValue(), directory.getValue());
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "standin-platform: " << error.error() << ' ' << error.argId() << '\n';
        return exitInvalidOptions;
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
