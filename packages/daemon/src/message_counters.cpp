#include "oriolehold/daemon/message_counters.h"

#include <string_view>

namespace oriolehold::daemon {

namespace {

// In the order of the alternatives of flow::peer_message.
constexpr std::array<std::string_view, std::variant_size_v<flow::peer_message>> kindNames {
    "hello", "report",        "claim",        "denial",  "summary",         "request",
    "page",  "probe_request", "probe_result", "service", "upstream_notice", "capacity"
};

} // namespace

std::string message_counters::text() const
{
    std::string text;
    const auto append = [&text](std::string_view name, const totals &items,
                                std::uint64_t total::*value) {
        text.append("# TYPE oriolehold_").append(name).append(" counter\n");
        for (std::size_t kind = 0; kind < items.size(); ++kind) {
            text.append("oriolehold_").append(name).append("{kind=\"").append(kindNames[kind]);
            text.append("\"} ").append(std::to_string(items[kind].*value)).append("\n");
        }
    };
    append("messages_sent_total", m_sent, &total::messages);
    append("messages_sent_bytes_total", m_sent, &total::bytes);
    append("messages_received_total", m_received, &total::messages);
    append("messages_received_bytes_total", m_received, &total::bytes);
    return text;
}

} // namespace oriolehold::daemon
