#pragma once

#include "oriolehold/admin/status_source.h"
#include "oriolehold/core/types.h"

#include <memory>

namespace oriolehold::admin {

// HTTP server for operators and peers, on threads of its own:
//   GET /healthz           200 while the process runs
//   GET /readyz            200 while it accepts traffic, else 503; status_source may set the path
//   GET /metrics           Prometheus text format
//   GET /state             current state as JSON
//   GET /v1/configuration  the configuration document in effect, 503 before the first
//   POST /drain            "Authorization: Bearer <key>"; 202, 403 for an invalid key, 404 if no
//                          key is configured
class admin_server
{
public:
    // source must outlive the server.
    admin_server(core::endpoint listen, status_source &source)
        : admin_server(std::vector<core::endpoint> { listen }, source)
    { }
    // Listens on several addresses with the same content.
    admin_server(std::vector<core::endpoint> listen, status_source &source);
    ~admin_server();
    admin_server(const admin_server &) = delete;
    admin_server &operator=(const admin_server &) = delete;

    // Starts listening and returns. Throws a std::exception when an address is not available.
    void start();
    // Closes all connections and ends the threads.
    void stop();

private:
    class implementation;

    const std::vector<core::endpoint> m_listen;
    status_source &m_source;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace oriolehold::admin
