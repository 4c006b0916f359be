#pragma once

#include <chrono>

namespace cxxtools::net {
class TcpSocket;
}

namespace oriolehold::admin::internal {

// Limits the time that one write may wait for a slow reader; the library's default is unlimited.
void setWriteTimeout(cxxtools::net::TcpSocket &socket, std::chrono::milliseconds timeout);

} // namespace oriolehold::admin::internal
