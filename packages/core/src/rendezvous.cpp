#include "oriolehold/core/rendezvous.h"

#include "oriolehold/base/hash.h"

#include <algorithm>
#include <cmath>

namespace oriolehold::core {

namespace {

bool isLive(const upstream *item)
{
    return item->state == upstream_state::live;
}

} // namespace

flow_key makeFlowKey(const endpoint &caller, const endpoint &service)
{
    const auto pack = [](const endpoint &value) {
        return std::uint64_t { value.address } << 16 | value.port;
    };
    return base::mixBits(base::mixBits(pack(caller)) + pack(service));
}

double rendezvousScore(flow_key key, const upstream &upstream)
{
    const std::uint64_t hash = base::mixBits(key ^ base::mixBits(toInteger(upstream.id) + 1ULL));
    // Uniform over (0, 1), so that the logarithm is finite and negative.
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    return -upstream.slots * upstream.strength / std::log(uniform);
}

const upstream *plainRendezvous(std::span<const upstream *const> upstreams, flow_key key)
{
    const upstream *best = nullptr;
    double bestScore = 0.0;
    for (const upstream *item : upstreams) {
        if (!isLive(item))
            continue;
        const double score = rendezvousScore(key, *item);
        if (best == nullptr || score > bestScore) {
            best = item;
            bestScore = score;
        }
    }
    return best;
}

const upstream *fiveTupleModulo(std::span<const upstream *const> upstreams, flow_key key)
{
    const auto live = static_cast<std::uint64_t>(std::ranges::count_if(upstreams, isLive));
    if (live == 0)
        return nullptr;
    std::uint64_t rest = key % live;
    const auto found = std::ranges::find_if(
            upstreams, [&](const upstream *item) { return isLive(item) && rest-- == 0; });
    return *found;
}

std::vector<const upstream *> rankUpstreams(std::span<const upstream *const> upstreams,
                                            flow_key key)
{
    struct scored_upstream
    {
        double score;
        const upstream *item;
    };
    std::vector<scored_upstream> scored;
    scored.reserve(upstreams.size());
    for (const upstream *item : upstreams)
        scored.push_back({ rendezvousScore(key, *item), item });
    std::ranges::stable_sort(scored, std::ranges::greater(), &scored_upstream::score);
    std::vector<const upstream *> ranked(scored.size());
    std::ranges::transform(scored, ranked.begin(), &scored_upstream::item);
    return ranked;
}

} // namespace oriolehold::core
