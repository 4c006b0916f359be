#pragma once

#include "oriolehold/core/configuration.h"

// Hash-based choice of flow owners. The entry router routes by token; these functions are the
// baselines of its benchmarks (docs/design.md, section 3).

namespace oriolehold::core {

using flow_key = std::uint64_t;

// Key of a flow from its 5-tuple; the protocol is always UDP.
flow_key makeFlowKey(const endpoint &caller, const endpoint &service);

// Weighted rendezvous score. The upstream with the highest score owns the flow, so that upstreams
// own flows in proportion to their weight (slots * strength).
double rendezvousScore(flow_key key, const upstream &upstream);

// Baseline plain_rendezvous: the live upstream with the highest score. Flows break when their owner
// leaves. nullptr if none is live.
const upstream *plainRendezvous(std::span<const upstream *const> upstreams, flow_key key);

// Baseline five_tuple_modulo: the key modulo the number of live upstreams. Nearly all flows break
// when that number changes. nullptr if none is live.
const upstream *fiveTupleModulo(std::span<const upstream *const> upstreams, flow_key key);

// All upstreams, live and leaving, in descending order of their scores. A ranked search for the
// owner of a flow starts with the first.
std::vector<const upstream *> rankUpstreams(std::span<const upstream *const> upstreams,
                                            flow_key key);

} // namespace oriolehold::core
