#pragma once

#include "oriolehold/admin/status_source.h"
#include "oriolehold/core/types.h"

#include <memory>

namespace oriolehold::admin {

// HTTP interface for operators and peers, on threads of its own:
//   GET /healthz           200 while the process runs
//   GET /readyz            200 when it accepts traffic, else 503
//   GET /metrics           Prometheus text
//   GET /state             JSON
//   GET /v1/configuration  the document in effect, 503 before the first
//   POST /drain            "Authorization: Bearer <key>"; 202, 403 for a wrong key, 404 without a
//                          configured key
class admin_server
{
public:
    // source must outlive the server.
    admin_server(core::endpoint listen, status_source &source)
        : admin_server(std::vector<core::endpoint> { listen }, source)
    { }
    // Serves the same on several addresses.
    admin_server(std::vector<core::endpoint> listen, status_source &source);
    ~admin_server();
    admin_server(const admin_server &) = delete;
    admin_server &operator=(const admin_server &) = delete;

    // Listens and returns. Throws a std::exception when the address is not available.
    void start();
    // Ends all connections.
    void stop();

private:
    class implementation;

    const std::vector<core::endpoint> m_listen;
    status_source &m_source;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace oriolehold::admin
