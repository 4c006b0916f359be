#include "oriolehold/wire/envelope.h"

#include "internal/memory_stream.h"
#include "internal/serialization.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>
#include <sodium.h>

#include <algorithm>

namespace oriolehold {

namespace {

using wire::internal::bytes;
using wire::internal::loadSize;
using wire::internal::microseconds;
using wire::internal::saveSize;

struct query_list
{
    std::vector<std::string> &queries;

    template<typename Archive>
    void save(Archive &archive) const
    {
        const std::size_t size = saveSize(archive, queries.size());
        for (std::string &query : std::span(queries).first(size))
            archive(bytes(query));
    }

    template<typename Archive>
    void load(Archive &archive)
    {
        queries.resize(loadSize(archive));
        for (std::string &query : queries)
            archive(bytes(query));
    }
};

} // namespace

namespace core {

template<typename Archive>
void serialize(Archive &archive, agent_report &value)
{
    archive(value.upstream, value.incarnation, value.state, value.running, value.queued,
            value.slots, value.connections, microseconds { value.expectedWait },
            microseconds { value.meanServiceTime }, value.generation);
}

template<typename Archive>
void serialize(Archive &archive, feed_state &value)
{
    archive(value.caller, value.service, bytes(value.token), bytes(value.path),
            query_list { value.queries }, value.sequence);
}

template<typename Archive>
void serialize(Archive &archive, handover_message &value)
{
    archive(value.step, value.id, value.from, value.feed);
}

} // namespace core

namespace wire {

template<typename Archive>
void serialize(Archive &archive, forward_message &value)
{
    archive(value.caller, value.service, value.generation, bytes(value.packet),
            microseconds { value.age });
}

template<typename Archive>
void serialize(Archive &archive, deliver_message &value)
{
    archive(value.caller, value.service, value.report, bytes(value.packet));
}

template<typename Archive>
void serialize(Archive &archive, probe_message &value)
{
    archive(value.generation);
}

template<typename Archive>
void serialize(Archive &archive, probe_reply_message &value)
{
    archive(value.report);
}

namespace {

constexpr std::uint8_t protocolVersion = 1;
constexpr std::size_t macSize = crypto_shorthash_BYTES;
constexpr std::size_t headerSize = 2 + macSize;

using mac_bytes = std::array<std::uint8_t, macSize>;

mac_bytes computeMac(const core::token_key &key, core::byte_view body)
{
    mac_bytes mac;
    crypto_shorthash(mac.data(), body.data(), body.size(), key.secret.data());
    return mac;
}

const core::token_key *findKey(std::span<const core::token_key> keys, std::uint8_t id)
{
    const auto found = std::ranges::find(keys, id, &core::token_key::id);
    return found == keys.end() ? nullptr : &*found;
}

thread_local internal::buffered_stream<std::ostream, internal::append_buffer> output;
thread_local internal::buffered_stream<std::istream, internal::view_buffer> input;

} // namespace

envelope_codec::envelope_codec(const core::configuration_content &content)
    : m_keys(content.keys), m_signingKey(content.signingKey)
{ }

core::byte_vector envelope_codec::encode(const message &value) const
{
    core::byte_vector datagram;
    encode(value, datagram);
    return datagram;
}

void envelope_codec::encode(const message &value, core::byte_vector &datagram) const
{
    datagram.reserve(maxEnvelopeSize);
    datagram.resize(headerSize);
    output.buffer.setTarget(datagram);
    cereal::PortableBinaryOutputArchive archive(output.stream);
    archive(value);
    const core::token_key *key = findKey(m_keys, m_signingKey);
    if (datagram.size() > maxEnvelopeSize || key == nullptr) {
        datagram.clear();
        return;
    }
    datagram[0] = protocolVersion;
    datagram[1] = key->id;
    const mac_bytes mac = computeMac(*key, core::byte_view(datagram).subspan(headerSize));
    std::ranges::copy(mac, datagram.begin() + 2);
}

std::optional<message> envelope_codec::decode(core::byte_view bytes) const
{
    if (bytes.size() <= headerSize || bytes.size() > maxEnvelopeSize || bytes[0] != protocolVersion)
        return std::nullopt;
    const core::token_key *key = findKey(m_keys, bytes[1]);
    if (key == nullptr)
        return std::nullopt;
    const core::byte_view body = bytes.subspan(headerSize);
    const mac_bytes expected = computeMac(*key, body);
    if (sodium_memcmp(expected.data(), bytes.data() + 2, macSize) != 0)
        return std::nullopt;
    try {
        input.buffer.setView(body);
        cereal::PortableBinaryInputArchive archive(input.stream);
        message value;
        archive(value);
        return value;
    } catch (const std::exception &) {
        // cereal reports truncated input and unknown alternatives as exceptions.
        return std::nullopt;
    }
}

} // namespace wire

} // namespace oriolehold
