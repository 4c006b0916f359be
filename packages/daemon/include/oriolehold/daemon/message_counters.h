#pragma once

#include "oriolehold/flow/peer_message.h"

#include <array>
#include <string>

// Counts the messages between the processes of the flow path, by kind.

namespace oriolehold::daemon {

class message_counters
{
public:
    // size is that of the datagram, in bytes.
    void sent(const flow::peer_message &message, std::size_t size)
    {
        add(m_sent[message.index()], size);
    }
    void received(const flow::peer_message &message, std::size_t size)
    {
        add(m_received[message.index()], size);
    }

    // The counters in the Prometheus text format.
    std::string text() const;

private:
    struct total
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };
    using totals = std::array<total, std::variant_size_v<flow::peer_message>>;

    static void add(total &item, std::size_t size)
    {
        ++item.messages;
        item.bytes += size;
    }

    totals m_sent;
    totals m_received;
};

} // namespace oriolehold::daemon
