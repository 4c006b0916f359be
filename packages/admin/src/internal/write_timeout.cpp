#include "internal/write_timeout.h"

#include <cxxtools/net/tcpsocket.h>

// This file is compiled as C++17, because the cxxtools header uses members of std::allocator that
// C++20 removed.

namespace oriolehold::admin::internal {

void setWriteTimeout(cxxtools::net::TcpSocket &socket, std::chrono::milliseconds timeout)
{
    socket.setTimeout(cxxtools::Milliseconds(static_cast<double>(timeout.count())));
}

} // namespace oriolehold::admin::internal
