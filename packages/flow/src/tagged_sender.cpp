#include "oriolehold/flow/tagged_sender.h"

namespace oriolehold::flow {

packet_tag tagged_sender::tagOf(packet_tag::instruction kind, std::uint32_t digest,
                                const flow_route *route)
{
    packet_tag tag { kind, digest };
    if (route != nullptr) {
        tag.priority = route->priority;
        tag.latencyObjective = route->latencyObjective;
        tag.timeout = route->timeout;
    }
    return tag;
}

const base::byte_vector &tagged_sender::tagged(packet_tag::instruction kind, std::uint32_t digest,
                                               const flow_route *route, base::byte_view packet)
{
    m_codec.copyTagged(packet, tagOf(kind, digest, route), m_copy);
    return m_copy;
}

void tagged_sender::send(packet_tag::instruction kind, std::uint32_t digest,
                         const flow_route *route, std::uint32_t machine, base::byte_view packet)
{
    m_output.sendToAgent(machine, tagged(kind, digest, route, packet));
}

} // namespace oriolehold::flow
