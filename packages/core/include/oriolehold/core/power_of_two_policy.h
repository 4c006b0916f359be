#pragma once

#include "oriolehold/core/balancing_policy.h"

// Draws two upstreams at random and chooses the one with the lower expected wait.

namespace oriolehold::core {

class power_of_two_policy final : public balancing_policy
{
public:
    std::string_view name() const override { return "power-of-two"; }
    std::size_t choose(std::span<const upstream_candidate> candidates,
                       random_source &random) override;
};

} // namespace oriolehold::core
