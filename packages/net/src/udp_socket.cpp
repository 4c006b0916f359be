#include "oriolehold/net/udp_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <linux/errqueue.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace oriolehold::net {

namespace {

constexpr int socketBufferSize = 4 * 1024 * 1024; // bytes; the kernel may grant less

sockaddr_in toSocketAddress(const base::endpoint &value)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(value.address);
    address.sin_port = htons(value.port);
    return address;
}

base::endpoint toEndpoint(const sockaddr_in &address)
{
    return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

void throwLastError(const char *what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

// Microseconds since the Unix epoch on the system clock.
std::int64_t systemMicroseconds()
{
    return std::chrono::duration_cast<base::duration>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

// Age of a datagram according to the kernel's receive timestamp; 0 when there is none. now is in
// microseconds since the Unix epoch.
base::duration datagramAge(msghdr &header, std::int64_t now)
{
    const cmsghdr *part = CMSG_FIRSTHDR(&header);
    if (part == nullptr || part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_TIMESTAMPNS)
        return {};
    timespec received {};
    std::memcpy(&received, CMSG_DATA(part), sizeof(received));
    const std::int64_t microseconds = received.tv_sec * 1'000'000 + received.tv_nsec / 1'000;
    return base::duration { std::max<std::int64_t>(now - microseconds, 0) };
}

} // namespace

struct udp_socket::buffers
{
    std::array<std::array<std::uint8_t, maxReceiveSize>, batchSize> input;
    std::array<sockaddr_in, batchSize> inputPeers;
    std::array<iovec, batchSize> inputVectors;
    std::array<mmsghdr, batchSize> inputHeaders;
    std::array<std::array<char, CMSG_SPACE(sizeof(timespec))>, batchSize> inputControls;
    std::array<datagram, batchSize> received;

    std::array<std::array<std::uint8_t, maxReceiveSize>, batchSize> output;
    std::array<sockaddr_in, batchSize> outputPeers;
    std::array<iovec, batchSize> outputVectors;
    std::array<mmsghdr, batchSize> outputHeaders;
    std::size_t queued = 0;
};

udp_socket::udp_socket(const base::endpoint &local, bool reusePort)
    // The buffers (139 KB) are not zeroed, so that their pages stay unoccupied in an idle socket:
    // with zeroed buffers, an entry instance with 540 listeners had 101 MB resident.
    : m_buffers(std::make_unique_for_overwrite<buffers>())
{
    m_descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0)
        throwLastError("socket");
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferSize, sizeof(socketBufferSize));
    setsockopt(m_descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferSize, sizeof(socketBufferSize));
    const int enabled = 1;
    setsockopt(m_descriptor, IPPROTO_IP, IP_RECVERR, &enabled, sizeof(enabled));
    setsockopt(m_descriptor, SOL_SOCKET, SO_TIMESTAMPNS, &enabled, sizeof(enabled));
    if (reusePort)
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled));
    const sockaddr_in address = toSocketAddress(local);
    if (bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        const int error = errno;
        close(m_descriptor);
        throw std::system_error(error, std::generic_category(), "bind to " + base::toString(local));
    }
}

udp_socket::~udp_socket()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

udp_socket::udp_socket(udp_socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)), m_buffers(std::move(other.m_buffers)),
      m_sendFailures(other.m_sendFailures), m_unreachablePeers(std::move(other.m_unreachablePeers))
{ }

base::endpoint udp_socket::local() const
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return toEndpoint(address);
}

std::span<const datagram> udp_socket::receive()
{
    buffers &state = *m_buffers;
    for (std::size_t i = 0; i < batchSize; ++i) {
        state.inputVectors[i] = { state.input[i].data(), state.input[i].size() };
        state.inputHeaders[i] = {};
        state.inputHeaders[i].msg_hdr.msg_name = &state.inputPeers[i];
        state.inputHeaders[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        state.inputHeaders[i].msg_hdr.msg_iov = &state.inputVectors[i];
        state.inputHeaders[i].msg_hdr.msg_iovlen = 1;
        state.inputHeaders[i].msg_hdr.msg_control = state.inputControls[i].data();
        state.inputHeaders[i].msg_hdr.msg_controllen = state.inputControls[i].size();
    }
    const int count = recvmmsg(m_descriptor, state.inputHeaders.data(), batchSize, 0, nullptr);
    if (count <= 0) {
        readErrors();
        return {};
    }
    const std::int64_t now = systemMicroseconds();
    for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i) {
        state.received[i] = { toEndpoint(state.inputPeers[i]),
                              base::byte_view(state.input[i]).first(state.inputHeaders[i].msg_len),
                              datagramAge(state.inputHeaders[i].msg_hdr, now) };
    }
    return std::span<const datagram>(state.received).first(static_cast<std::size_t>(count));
}

void udp_socket::send(const base::endpoint &peer, base::byte_view bytes)
{
    buffers &state = *m_buffers;
    if (bytes.empty() || bytes.size() > maxReceiveSize) {
        ++m_sendFailures;
        return;
    }
    const std::size_t slot = state.queued++;
    std::ranges::copy(bytes, state.output[slot].begin());
    state.outputPeers[slot] = toSocketAddress(peer);
    state.outputVectors[slot] = { state.output[slot].data(), bytes.size() };
    state.outputHeaders[slot] = {};
    state.outputHeaders[slot].msg_hdr.msg_name = &state.outputPeers[slot];
    state.outputHeaders[slot].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    state.outputHeaders[slot].msg_hdr.msg_iov = &state.outputVectors[slot];
    state.outputHeaders[slot].msg_hdr.msg_iovlen = 1;
    if (state.queued == batchSize)
        flush();
}

void udp_socket::flush()
{
    buffers &state = *m_buffers;
    std::size_t sent = 0;
    bool retried = false;
    while (sent < state.queued) {
        const int count = sendmmsg(m_descriptor, state.outputHeaders.data() + sent,
                                   static_cast<unsigned>(state.queued - sent), 0);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            retried = false;
            continue;
        }
        // With IP_RECVERR, a pending ICMP error makes one call fail, also for an unrelated
        // datagram; the second attempt sends it.
        if (!retried) {
            retried = true;
            continue;
        }
        ++m_sendFailures;
        ++sent;
        retried = false;
    }
    state.queued = 0;
}

std::vector<base::endpoint> udp_socket::takeUnreachablePeers()
{
    readErrors();
    return std::exchange(m_unreachablePeers, {});
}

void udp_socket::readErrors()
{
    while (true) {
        sockaddr_in peer {};
        std::array<char, 256> control;
        msghdr header {};
        header.msg_name = &peer;
        header.msg_namelen = sizeof(peer);
        header.msg_control = control.data();
        header.msg_controllen = control.size();
        if (recvmsg(m_descriptor, &header, MSG_ERRQUEUE) < 0)
            return;
        for (cmsghdr *part = CMSG_FIRSTHDR(&header); part != nullptr;
             part = CMSG_NXTHDR(&header, part)) {
            if (part->cmsg_level != IPPROTO_IP || part->cmsg_type != IP_RECVERR)
                continue;
            const auto *error = reinterpret_cast<const sock_extended_err *>(CMSG_DATA(part));
            if (error->ee_errno == ECONNREFUSED && m_unreachablePeers.size() < maxUnreachablePeers)
                m_unreachablePeers.push_back(toEndpoint(peer));
        }
    }
}

} // namespace oriolehold::net
