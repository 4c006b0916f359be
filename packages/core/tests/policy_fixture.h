#pragma once

#include "oriolehold/core/balancing_policy.h"

#include <deque>

// Test fixture: candidates for balancing policies, without a router.

namespace oriolehold::core::testing {

struct policy_fixture
{
    upstream_candidate &add(double strength, std::uint16_t slots = 2)
    {
        upstream &item = upstreams.emplace_back();
        item.id = upstream_id { static_cast<std::uint16_t>(upstreams.size()) };
        item.strength = strength;
        item.slots = slots;
        candidates.push_back({ .upstream = &item, .sameZone = true });
        return candidates.back();
    }

    // Returns how often each candidate is chosen.
    std::vector<int> choose(balancing_policy &policy, int flows)
    {
        std::vector<int> counts(candidates.size());
        for (int i = 0; i < flows; ++i)
            ++counts[policy.choose(candidates, random)];
        return counts;
    }

    std::deque<upstream> upstreams; // candidates point into it
    std::vector<upstream_candidate> candidates;
    seeded_random random { 1 };
};

} // namespace oriolehold::core::testing
