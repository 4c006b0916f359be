#pragma once

#include "oriolehold/core/balancing_policy.h"

// Chooses at random in proportion to capacity. Needs no load reports.

namespace oriolehold::core {

class weighted_random_policy final : public balancing_policy
{
public:
    std::string_view name() const override { return "weighted-random"; }
    std::size_t choose(std::span<const upstream_candidate> candidates,
                       random_source &random) override;
};

} // namespace oriolehold::core
