#include "oriolehold/wire/flow_codec.h"

#include "internal/memory_stream.h"

#include "internal/serialization.h"

#include <cereal/types/array.hpp>
#include <cereal/types/variant.hpp>

namespace oriolehold {

namespace wire {

namespace {

thread_local internal::buffered_stream<std::ostream, internal::append_buffer> output;
thread_local internal::buffered_stream<std::istream, internal::view_buffer> input;

// Serialization of the last field of a message if the previous release does not send it. It keeps
// its value then.
template<typename Value>
struct optional_last
{
    Value &value;

    template<typename Archive>
    void save(Archive &archive) const
    {
        archive(value);
    }

    template<typename Archive>
    void load(Archive &archive)
    {
        if (input.buffer.in_avail() > 0)
            archive(value);
    }
};

} // namespace

} // namespace wire

namespace flow {

using wire::internal::bytes;
using wire::internal::enumeration;
using wire::internal::flag;
using wire::internal::length_prefixed_list;
using wire::internal::microseconds;
using wire::internal::milliseconds;

template<typename Archive>
void serialize(Archive &archive, flow_key &value)
{
    archive(value.client, value.service);
}

template<typename Archive>
void serialize(Archive &archive, entry_hello &value)
{
    archive(value.bootId, bytes(value.zone), value.slots);
}

template<typename Archive>
void serialize(Archive &archive, load_report &value)
{
    archive(value.bootId, value.running, value.meanRunning, value.openFlows,
            microseconds { value.meanServiceTime }, flag { value.responsive });
}

template<typename Archive>
void serialize(Archive &archive, flow_claim &value)
{
    archive(length_prefixed_list<flow_key> { value.flows });
}

template<typename Archive>
void serialize(Archive &archive, flow_denial &value)
{
    archive(value.flow, value.serviceDigest, flag { value.misdirected });
}

template<typename Archive>
void serialize(Archive &archive, view_summary &value)
{
    // The era comes last, because receivers without it ignore what follows the fields they know.
    archive(value.configurationVersion, value.upstreamRevision.number, value.upstreamDigest,
            microseconds { value.age }, value.upstreamRevision.era);
}

template<typename Archive>
void serialize(Archive &archive, view_request &value)
{
    archive(flag { value.configuration }, flag { value.upstreams });
}

template<typename Archive>
void serialize(Archive &archive, view_page &value)
{
    archive(enumeration<document_kind::upstreams> { value.kind }, value.id,
            microseconds { value.age }, value.index, value.count, bytes(value.bytes));
}

template<typename Archive>
void serialize(Archive &archive, probe_request &value)
{
    archive(value.requestId, length_prefixed_list<std::uint32_t> { value.machines },
            bytes(value.packet));
}

template<typename Archive>
void serialize(Archive &archive, probe_result &value)
{
    archive(value.requestId, value.flow, value.owner,
            length_prefixed_list<std::uint32_t> { value.denied });
}

template<typename Archive>
void serialize(Archive &archive, service_announcement &value)
{
    archive(value.serviceDigest);
}

template<typename Archive>
void serialize(Archive &archive, store_revision &value)
{
    archive(value.era, value.number);
}

template<typename Archive>
void serialize(Archive &archive, upstream_notice &value)
{
    archive(value.incarnation, milliseconds { value.warmUpLeft }, value.coldRate,
            value.evacuationRevision, flag { value.evacuated });
}

template<typename Archive>
void serialize(Archive &archive, capacity_report &value)
{
    archive(value.openingRoom, flag { value.evacuated }, value.concurrency,
            wire::optional_last<capacity_report::priority_waits> { value.expectedWait });
}

template<typename Archive>
void serialize(Archive &archive, service_warm_up &value)
{
    archive(bytes(value.service), milliseconds { value.duration }, value.requestsPerSecond);
}

template<typename Archive>
void serialize(Archive &archive, zone_evacuation &value)
{
    archive(value.revision, length_prefixed_list<std::string> { value.zones });
}

template<typename Archive>
void serialize(Archive &archive, weighted_service &value)
{
    archive(bytes(value.name), value.weight);
}

template<typename Archive>
void serialize(Archive &archive, flow_route &value)
{
    archive(value.address, length_prefixed_list<weighted_service> { value.services },
            value.priority, milliseconds { value.latencyObjective },
            milliseconds { value.timeout });
}

template<typename Archive>
void serialize(Archive &archive, flow_configuration &value)
{
    archive(value.version, length_prefixed_list<flow_route> { value.routes },
            milliseconds { value.idleTimeout },
            length_prefixed_list<std::string> { value.services },
            length_prefixed_list<service_warm_up> { value.warmUps });
}

template<typename Archive>
void serialize(Archive &archive, upstream_record &value)
{
    archive(bytes(value.id), bytes(value.service), value.address, bytes(value.zone), value.slots,
            enumeration<upstream_phase::draining> { value.phase },
            milliseconds { value.warmUpLeft }, value.incarnation);
}

template<typename Archive>
void serialize(Archive &archive, upstream_list &value)
{
    archive(value.revision.number, length_prefixed_list<upstream_record> { value.upstreams },
            value.revision.era, value.evacuation);
}

} // namespace flow

namespace wire {

namespace {

constexpr std::uint8_t protocolVersion = 2;

template<typename Value>
void append(const Value &value, base::byte_vector &bytes)
{
    output.buffer.setTarget(bytes);
    cereal::PortableBinaryOutputArchive archive(output.stream);
    archive(value);
}

template<typename Value>
std::optional<Value> decodeValue(base::byte_view bytes)
{
    try {
        input.buffer.setView(bytes);
        cereal::PortableBinaryInputArchive archive(input.stream);
        Value value;
        archive(value);
        return value;
    } catch (const std::exception &) {
        // cereal reports truncated input and unknown alternatives as exceptions.
        return std::nullopt;
    }
}

template<typename Document>
base::byte_vector encodeDocument(const Document &document)
{
    base::byte_vector bytes;
    append(document, bytes);
    return bytes;
}

} // namespace

void encodeFlowMessage(const flow::peer_message &message, base::byte_vector &datagram)
{
    datagram.clear();
    datagram.push_back(protocolVersion);
    append(message, datagram);
}

std::optional<flow::peer_message> decodeFlowMessage(base::byte_view datagram)
{
    if (datagram.size() < 2 || datagram.size() > maxFlowDatagramSize
        || datagram[0] != protocolVersion)
        return std::nullopt;
    return decodeValue<flow::peer_message>(datagram.subspan(1));
}

base::byte_vector flow_document_codec::encode(const flow::flow_configuration &configuration) const
{
    return encodeDocument(configuration);
}

base::byte_vector flow_document_codec::encode(const flow::upstream_list &list) const
{
    return encodeDocument(list);
}

std::optional<flow::flow_configuration>
flow_document_codec::decodeConfiguration(base::byte_view bytes) const
{
    return decodeValue<flow::flow_configuration>(bytes);
}

std::optional<flow::upstream_list> flow_document_codec::decodeUpstreams(base::byte_view bytes) const
{
    return decodeValue<flow::upstream_list>(bytes);
}

} // namespace wire

} // namespace oriolehold
