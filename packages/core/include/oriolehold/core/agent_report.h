#pragma once

#include "oriolehold/core/types.h"

// State of an agent and its upstream, piggybacked on every envelope that an agent sends.

namespace oriolehold::core {

enum class agent_state : std::uint8_t {
    warming, // the upstream started recently and has not reached its full capacity
    live,
    draining, // accepts no new flows
};

struct agent_report
{
    upstream_id upstream {};
    core::incarnation incarnation = core::incarnation::unknown;
    agent_state state = agent_state::live;
    std::uint16_t running = 0; // jobs on the slots of the upstream
    std::uint16_t queued = 0;  // jobs waiting for a slot
    std::uint16_t slots = 1;
    std::uint32_t connections = 0;    // open feeds and downloads
    duration expectedWait {};         // until a newly arriving job gets a slot
    duration meanServiceTime {};      // running mean over all jobs, 0 when unknown
    generation_number generation = 0; // configuration in effect

    bool operator==(const agent_report &) const = default;
};

} // namespace oriolehold::core
