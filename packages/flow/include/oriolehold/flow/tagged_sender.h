#pragma once

#include "oriolehold/flow/entry_output.h"
#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/routing_view.h"

// Sends packets of clients to agents, with an instruction and the times of their route.

namespace oriolehold::flow {

class tagged_sender
{
public:
    // The references must outlive the object.
    tagged_sender(const packet_codec &codec, entry_output &output)
        : m_codec(codec), m_output(output)
    { }

    // Without a route the tag has the default priority and no times.
    static packet_tag tagOf(packet_tag::instruction kind, std::uint32_t digest,
                            const flow_route *route);
    // Returns a tagged copy of the packet, which is valid until the next call. digest is that of
    // the service that the packet is for.
    const base::byte_vector &tagged(packet_tag::instruction kind, std::uint32_t digest,
                                    const flow_route *route, base::byte_view packet);
    // Sends a tagged copy to the agent on the machine.
    void send(packet_tag::instruction kind, std::uint32_t digest, const flow_route *route,
              std::uint32_t machine, base::byte_view packet);

private:
    const packet_codec &m_codec;
    entry_output &m_output;
    base::byte_vector m_copy;
};

} // namespace oriolehold::flow
