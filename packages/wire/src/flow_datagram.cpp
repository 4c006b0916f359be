#include "oriolehold/wire/flow_datagram.h"

#include "internal/memory_stream.h"

#include "internal/serialization.h"

#include <cereal/types/variant.hpp>

namespace oriolehold {

namespace flow {

using wire::internal::bounded_list;
using wire::internal::bytes;
using wire::internal::microseconds;

template<typename Archive>
void serialize(Archive &archive, flow_key &value)
{
    archive(value.client, value.service);
}

template<typename Archive>
void serialize(Archive &archive, entry_hello &value)
{
    archive(value.bootId, bytes(value.zone));
}

template<typename Archive>
void serialize(Archive &archive, load_report &value)
{
    archive(value.bootId, value.running, value.meanRunning, value.openFlows,
            microseconds { value.meanServiceTime });
}

template<typename Archive>
void serialize(Archive &archive, flow_claim &value)
{
    archive(bounded_list<flow_key> { value.flows });
}

template<typename Archive>
void serialize(Archive &archive, flow_denial &value)
{
    archive(value.flow);
}

} // namespace flow

namespace wire {

namespace {

constexpr std::uint8_t protocolVersion = 1;

thread_local internal::buffered_stream<std::ostream, internal::append_buffer> output;
thread_local internal::buffered_stream<std::istream, internal::view_buffer> input;

} // namespace

void encodeFlowMessage(const flow::peer_message &message, core::byte_vector &datagram)
{
    datagram.clear();
    datagram.push_back(protocolVersion);
    output.buffer.setTarget(datagram);
    cereal::PortableBinaryOutputArchive archive(output.stream);
    archive(message);
}

std::optional<flow::peer_message> decodeFlowMessage(core::byte_view datagram)
{
    if (datagram.size() < 2 || datagram.size() > maxFlowDatagram || datagram[0] != protocolVersion)
        return std::nullopt;
    try {
        input.buffer.setView(datagram.subspan(1));
        cereal::PortableBinaryInputArchive archive(input.stream);
        flow::peer_message value;
        archive(value);
        return value;
    } catch (const std::exception &) {
        // cereal reports truncated input and unknown alternatives by exceptions.
        return std::nullopt;
    }
}

} // namespace wire

} // namespace oriolehold
