#pragma once

#include "oriolehold/base/types.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

// Packets of flows in the form that placement and forwarding work on. Payloads stay opaque.

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

// "client>service", the form in logs, for example
// "100.64.0.7:40001>198.18.0.1:443".
std::string toString(const flow_key &key);

// Instruction between entry instance, agent and upstream, carried in a part of a packet's head that
// client and upstream do not interpret.
struct packet_tag
{
    enum class instruction : std::uint8_t {
        none,    // an untagged packet
        deliver, // to the upstream
        probe,   // to the upstream, to find out whether it holds the flow
        absent,  // returned to the entry instance: the upstream does not hold the flow
        refused, // returned to the entry instance: the upstream did not accept the opening packet
        // Returned to the entry instance: the upstream has another service than the tag says and
        // did not get the packet.
        misdirected,
        // Returned to the entry instance: the upstream has not answered the opening packet so far,
        // and may still accept it.
        unanswered,
    };

    instruction kind = instruction::none;
    // To an agent: digest of the name of the service that the packet is for. An agent of another
    // service returns the packet, so that an upstream at a reused address gets no packets of its
    // predecessor. From the agent to the upstream and back: index of the sending entry instance in
    // the agent's list. From the agent to the entry instance: digest of the agent's own service.
    // 24 bits.
    std::uint32_t value = 0;
    // Of the route's requests; 0 is the most urgent. 4 bits.
    std::uint8_t priority = 0;
    // Of the route's requests; only in packets to an agent. 0 means "unknown".
    std::chrono::milliseconds latencyObjective {}; // in steps of 10 ms, at most 40.95 s
    std::chrono::milliseconds timeout {};          // in steps of 100 ms, at most 409.5 s

    bool operator==(const packet_tag &) const = default;
};

// Low 32 bits: instruction, priority and value, which an upstream returns unchanged. Next 24 bits:
// the two times. Times are rounded down and limited to the largest value of their field.
std::uint64_t pack(const packet_tag &tag);
// An unknown instruction yields an empty tag (none).
packet_tag unpackTag(std::uint64_t bits);

// 24-bit hash of the name of a service.
std::uint32_t serviceDigest(std::string_view serviceName);

// The decoded head of a packet, in either direction.
struct packet_head
{
    base::endpoint source;
    base::endpoint destination;
    bool opens = false;        // first packet of its sender in the flow
    bool acknowledges = false; // the acknowledgement number is valid
    bool finishes = false;     // the sender closes its side of the flow
    bool resets = false;
    bool returned = false; // an upstream returned it unprocessed
    packet_tag tag;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t payloadSize = 0; // bytes

    // Whether a client requests a new flow with it.
    bool isOpening() const { return opens && !acknowledges; }
    // Number of earlier copies of an opening packet. Clients send it as the acknowledgement number.
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

// Reads and writes the wire format of packets. Implementations are stateless and thread-safe.
class packet_codec
{
public:
    virtual ~packet_codec() = default;
    // An empty optional when the bytes are not a packet.
    virtual std::optional<packet_head> decode(base::byte_view packet) const = 0;
    // Copies a packet with another tag and without the flag of a returned packet.
    virtual void copyTagged(base::byte_view packet, const packet_tag &tag,
                            base::byte_vector &copy) const = 0;
    // Writes a reset that answers a client's packet.
    virtual void writeReset(const packet_head &clientPacket, base::byte_vector &reset) const = 0;
};

} // namespace oriolehold::flow
