#pragma once

#include "oriolehold/base/types.h"

#include <memory>
#include <system_error>
#include <vector>

// UDP sockets with batched input and output.

namespace oriolehold::net {

struct datagram
{
    base::endpoint peer;
    base::byte_view bytes;
    // Time spent in the socket's receive buffer, large after the process was paused; 0 when
    // unknown.
    base::duration age {};
};

// A bound, non-blocking IPv4 socket.
class udp_socket
{
public:
    // Datagrams per system call.
    static constexpr std::size_t batchSize = 32;
    // In bytes. Longer datagrams are truncated to this size; the decoders reject them as oversized.
    static constexpr std::size_t maxReceiveSize = 2048;
    static constexpr std::size_t maxUnreachablePeers = 1024;

    // Binds to the address; port 0 picks a free port. Throws std::system_error on failure.
    // With reusePort set, several sockets can bind to the same address, and the kernel distributes
    // the flows over them.
    explicit udp_socket(const base::endpoint &local, bool reusePort = false);
    ~udp_socket();
    udp_socket(udp_socket &&other) noexcept;
    udp_socket &operator=(udp_socket &&) = delete;

    int descriptor() const { return m_descriptor; }
    base::endpoint local() const;

    // Reads at most batchSize datagrams without blocking. The views are valid until the next call.
    std::span<const datagram> receive();
    // Queues a datagram; a full queue is flushed immediately. An empty or oversized datagram is
    // dropped and counted as a send failure.
    void send(const base::endpoint &peer, base::byte_view bytes);
    // Sends all queued datagrams. Those that the kernel rejects are dropped and counted as send
    // failures.
    void flush();
    std::uint64_t sendFailures() const { return m_sendFailures; }

    // Returns the peers reported as unreachable (ICMP port unreachable) since the last call, at
    // most maxUnreachablePeers.
    std::vector<base::endpoint> takeUnreachablePeers();

private:
    struct buffers;

    // Empties the queue of errors. The socket stays ready as long as it holds one.
    void readErrors();

    int m_descriptor = -1;
    std::unique_ptr<buffers> m_buffers;
    std::uint64_t m_sendFailures = 0;
    std::vector<base::endpoint> m_unreachablePeers;
};

} // namespace oriolehold::net
