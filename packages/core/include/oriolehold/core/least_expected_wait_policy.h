#pragma once

#include "oriolehold/core/balancing_policy.h"

// Chooses the upstream with the lowest expected wait. Ties are broken at random, so that entries
// with the same view do not all choose the same upstream.

namespace oriolehold::core {

class least_expected_wait_policy final : public balancing_policy
{
public:
    std::string_view name() const override { return "least-expected-wait"; }
    std::size_t choose(std::span<const upstream_candidate> candidates,
                       random_source &random) override;
};

} // namespace oriolehold::core
