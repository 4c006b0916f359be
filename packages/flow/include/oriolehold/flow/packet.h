#pragma once

#include "oriolehold/base/types.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

// Packets of flows as the decisions see them. The bytes stay opaque.

namespace oriolehold::flow {

// The two ends of a flow. The service end is the published address of a route.
struct flow_key
{
    base::endpoint client;
    base::endpoint service;

    bool operator==(const flow_key &) const = default;
};

struct flow_key_hash
{
    std::size_t operator()(const flow_key &key) const noexcept;
};

// "client>service", the searchable form in logs, for example
// "100.64.0.7:40001>198.18.0.1:443".
std::string toString(const flow_key &key);

// Instruction that travels in the part of a packet's head that its two ends do not read.
struct packet_tag
{
    enum class instruction : std::uint8_t {
        none,    // a packet as its sender wrote it
        deliver, // to the upstream
        probe,   // to the upstream, to learn whether it holds the flow
        absent,  // back to the entry instance: the upstream does not hold the flow
        refused, // back to the entry instance: the upstream did not accept the opening packet
        // Back to the entry instance: the upstream is of another service than the tag said, and was
        // not asked.
        misdirected,
    };

    instruction kind = instruction::none;
    // On the way to an agent the digest of the name of the service that the packet is for; an agent
    // beside an upstream of another service refuses it, so a reused address gets no packets of its
    // predecessor. From the agent to the upstream and back the index of the sending entry instance
    // in the agent's list. In a misdirected packet the digest of the agent's own service. 24 bits.
    std::uint32_t value = 0;
    // Urgency of the route's requests, 0 is the most urgent. 4 bits.
    std::uint8_t priority = 0;
    // Of the route's requests; only on the way to an agent. 0 means "unknown".
    std::chrono::milliseconds latencyObjective {}; // in steps of 10 ms, at most 40.95 s
    std::chrono::milliseconds timeout {};          // in steps of 100 ms, at most 409.5 s

    bool operator==(const packet_tag &) const = default;
};

// The low 32 bits hold what an upstream returns unchanged, the next 24 bits the two times.
std::uint64_t pack(const packet_tag &tag);
// Unknown instructions are read as none.
packet_tag unpackTag(std::uint64_t bits);

// 24 bits.
std::uint32_t serviceDigest(std::string_view serviceName);

// The decoded head of a packet, in either direction.
struct packet_head
{
    base::endpoint source;
    base::endpoint destination;
    bool opens = false;        // first packet of an end
    bool acknowledges = false; // the acknowledgement number is valid
    bool finishes = false;
    bool resets = false;
    bool returned = false; // an upstream gave it back unprocessed
    packet_tag tag;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t payloadSize = 0; // bytes

    // Whether a client asks for a new flow with it.
    bool isOpening() const { return opens && !acknowledges; }
    // Number of earlier copies of an opening packet, which clients count in the acknowledgement.
    std::uint32_t retransmitCount() const { return acknowledgement; }
};

inline flow_key keyOfClientPacket(const packet_head &head)
{
    return { head.source, head.destination };
}
inline flow_key keyOfUpstreamPacket(const packet_head &head)
{
    return { head.destination, head.source };
}

// The wire format of packets. Stateless and thread-safe.
class packet_codec
{
public:
    virtual ~packet_codec() = default;
    // An empty optional when the bytes are not a packet.
    virtual std::optional<packet_head> decode(base::byte_view packet) const = 0;
    // Copies a packet with another tag, and without the mark of a returned packet.
    virtual void copyTagged(base::byte_view packet, const packet_tag &tag,
                            base::byte_vector &copy) const = 0;
    // A reset that answers a client's packet.
    virtual void writeReset(const packet_head &clientPacket, base::byte_vector &reset) const = 0;
};

} // namespace oriolehold::flow
