#pragma once

#include "oriolehold/flow/peer_message.h"

namespace oriolehold::flow {

// Sends the packets of an entry instance. machine and client are IPv4 addresses.
class entry_output : public message_output
{
public:
    virtual void sendToAgent(std::uint32_t machine, base::byte_view packet) = 0;
    virtual void sendToClient(std::uint32_t client, base::byte_view packet) = 0;
};

} // namespace oriolehold::flow
