#pragma once

#include "flow_fakes.h"

#include <algorithm>

// Values and measures that several tests use.

namespace oriolehold::flow {

using instruction = packet_tag::instruction;

inline constexpr base::endpoint client { 0x64400007, 40001 };
inline constexpr base::endpoint ordersAddress { 0xc6120001, 443 }; // of the service "orders"
inline constexpr flow_key clientFlow { client, ordersAddress };

// An upstream of zone-a with two slots, as an entry instance knows it by a report at time 0.
inline known_upstream idleUpstream(std::uint32_t machine)
{
    known_upstream item;
    item.record.address = { machine, 80 };
    item.record.zone = "zone-a";
    item.record.slots = 2;
    item.report.meanServiceTime = std::chrono::milliseconds { 20 };
    item.reportedAt = atMilliseconds(0);
    return item;
}

// Largest number of the events in any sliding second.
inline std::size_t largestSecond(std::vector<base::time_point> times)
{
    std::size_t result = 0;
    std::ranges::sort(times);
    for (auto first = times.begin(); first != times.end(); ++first)
        result = std::max<std::size_t>(
                result,
                std::ranges::lower_bound(first, times.end(), *first + std::chrono::seconds { 1 })
                        - first);
    return result;
}

} // namespace oriolehold::flow
