#pragma once

#include "oriolehold/core/balancing_policy.h"

// Smooth weighted round robin, corrected by load. Each choice adds credit to every upstream in
// proportion to its capacity and charges the chosen one for the flow. So the shares are exact also
// over short times, unlike those of a random choice. Upstreams with more outstanding jobs per slot
// than the others get fewer flows.

namespace oriolehold::core {

class smooth_weighted_policy final : public balancing_policy
{
public:
    std::string_view name() const override { return "smooth-weighted"; }
    std::size_t choose(std::span<const upstream_candidate> candidates,
                       random_source &random) override;

private:
    double &creditOf(const upstream_candidate &candidate, random_source &random);

    // In flows, by upstream id and class_kind. The shares are exact for each kind, because
    // requests, feeds and downloads load an upstream differently.
    std::vector<double> m_credits;
};

} // namespace oriolehold::core
