#pragma once

#include "oriolehold/core/configuration.h"

// Owners of flows by hash. The entry routes by token; these are the alternatives that it is
// measured against (docs/design.md, section 3).

namespace oriolehold::core {

using flow_key = std::uint64_t;

// Key of a flow from its 5-tuple; the protocol is always UDP.
flow_key makeFlowKey(const endpoint &caller, const endpoint &service);

// Weighted rendezvous score; the highest wins, and an upstream wins in proportion to its weight.
double rendezvousScore(flow_key key, const upstream &upstream);

// Baseline plain_rendezvous: the live upstream with the highest score. Flows whose owner leaves
// break. nullptr when none is live.
const upstream *plainRendezvous(std::span<const upstream *const> upstreams, flow_key key);

// Baseline five_tuple_modulo: the key modulo the number of live upstreams. Nearly all flows break
// when that number changes. nullptr when none is live.
const upstream *fiveTupleModulo(std::span<const upstream *const> upstreams, flow_key key);

// Ranked search: all upstreams, live and leaving, in descending order of their scores. A flow is
// looked for from the first rank on.
std::vector<const upstream *> rankUpstreams(std::span<const upstream *const> upstreams,
                                            flow_key key);

} // namespace oriolehold::core
