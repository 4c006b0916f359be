#pragma once

#include <chrono>

namespace cxxtools::net {
class TcpSocket;
}

namespace oriolehold::admin::internal {

// Sets the longest time that one write blocks on a slow reader; cxxtools has no limit by default.
void setWriteTimeout(cxxtools::net::TcpSocket &socket, std::chrono::milliseconds timeout);

} // namespace oriolehold::admin::internal
