#pragma once

#include "oriolehold/core/balancing_policy.h"

// Smooth weighted round robin, corrected by load. Every upstream earns credit in proportion to its
// capacity and pays for each flow that it gets, so the shares are exact over short times, where a
// random choice varies. Upstreams with more outstanding jobs per slot than the others get less.

namespace oriolehold::core {

class smooth_weighted_policy final : public balancing_policy
{
public:
    std::string_view name() const override { return "smooth-weighted"; }
    std::size_t choose(std::span<const upstream_candidate> candidates,
                       random_source &random) override;

private:
    double &creditOf(const upstream_candidate &candidate, random_source &random);

    // In flows, by upstream id and kind of flow: shares are exact for each kind, since jobs, feeds
    // and downloads load an upstream differently.
    std::vector<double> m_credits;
};

} // namespace oriolehold::core
