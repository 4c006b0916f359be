#include "oriolehold/flow/flow_search.h"

#include <algorithm>

namespace oriolehold::flow {

flow_search::kept_position flow_search::keep(const packet_head &head, base::byte_view packet,
                                             bool keepsOne)
{
    const auto isSame = [&](const kept_packet &item) {
        return item.head.sequence == head.sequence && item.head.payloadSize == head.payloadSize
                && item.head.finishes == head.finishes;
    };
    auto kept = std::ranges::find_if(packets, isSame);
    const bool isCopy = kept != packets.end();
    const bool replaces =
            !isCopy && !packets.empty() && (keepsOne || packets.size() == maxKeptPackets);
    if (replaces)
        kept = std::prev(kept);
    else if (!isCopy)
        kept = packets.emplace(kept);
    kept->head = head;
    kept->bytes.assign(packet.begin(), packet.end());
    const auto position = static_cast<std::size_t>(kept - packets.begin());
    if (replaces)
        std::ranges::for_each(candidates,
                              [&](search_candidate &item) { item.received.reset(position); });
    return { position, isCopy };
}

bool flow_search::endWait(search_candidate &item)
{
    if (item.awaitedSince == base::time_point {})
        return false;
    item.awaitedSince = {};
    --awaitedProbes;
    return true;
}

} // namespace oriolehold::flow
