#include "oriolehold/net/udp_socket.h"

#include <CppUTest/TestHarness.h>

#include <poll.h>

#include <algorithm>

using namespace oriolehold;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;

// Waits until the socket has input or an error, for at most two seconds.
void waitForInput(const net::udp_socket &socket)
{
    pollfd descriptor { socket.descriptor(), POLLIN, 0 };
    poll(&descriptor, 1, 2000);
}

} // namespace

TEST_GROUP(udp_socket)
{
    net::udp_socket first { { loopback, 0 } };
    net::udp_socket second { { loopback, 0 } };
};

TEST(udp_socket, ReceivedDatagramCarriesItsSenderAndBytes)
{
    const base::byte_vector bytes { 1, 2, 3 };
    first.send(second.local(), bytes);
    first.flush();
    waitForInput(second);

    const auto received = second.receive();

    CHECK_EQUAL(1u, received.size());
    CHECK_TRUE(received[0].peer == first.local());
    CHECK_TRUE(std::ranges::equal(bytes, received[0].bytes));
}

TEST(udp_socket, ClosedPeerIsReportedAsUnreachable)
{
    base::endpoint closed;
    {
        const net::udp_socket temporary { { loopback, 0 } };
        closed = temporary.local();
    }
    first.send(closed, base::byte_vector { 1 });
    first.flush();
    waitForInput(first);

    const auto unreachable = first.takeUnreachablePeers();

    CHECK_EQUAL(1u, unreachable.size());
    CHECK_TRUE(unreachable[0] == closed);
}

// An error that is not taken keeps the socket ready for ever, so that the event loop never waits.
TEST(udp_socket, SocketIsNotReadyAfterAReceiveThatFindsOnlyErrors)
{
    base::endpoint closed;
    {
        const net::udp_socket temporary { { loopback, 0 } };
        closed = temporary.local();
    }
    for (int i = 0; i < 3; ++i) {
        first.send(closed, base::byte_vector { 1 });
        first.flush();
    }
    waitForInput(first);
    CHECK_EQUAL(0u, first.receive().size());

    pollfd descriptor { first.descriptor(), POLLIN, 0 };
    CHECK_EQUAL(0, poll(&descriptor, 1, 0));
    CHECK_FALSE(first.takeUnreachablePeers().empty());
}
