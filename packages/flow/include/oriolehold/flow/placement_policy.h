#pragma once

#include "oriolehold/base/types.h"
#include "oriolehold/flow/upstream_directory.h"

#include <span>

// Choice of the upstream for a new flow.

namespace oriolehold::flow {

class placement_policy
{
public:
    virtual ~placement_policy() = default;
    // Returns one of the candidates, or nullptr when there is none. zone is that of the client.
    virtual known_upstream *choose(std::span<known_upstream *const> candidates,
                                   std::string_view zone, base::time_point now) = 0;
};

// Of two upstreams drawn at random the one that likely answers a request of the flow sooner.
// Expected load is what the agents reported, plus what this entry instance has assigned since; it
// counts by the time that the upstream needs for a request. The draw keeps many entry instances
// with the same reports from choosing the same upstream.
class expected_time_policy final : public placement_policy
{
public:
    // random must outlive the object.
    explicit expected_time_policy(base::random_source &random) : m_random(random) { }

    known_upstream *choose(std::span<known_upstream *const> candidates, std::string_view zone,
                           base::time_point now) override;

private:
    // Moves two random upstreams to the front of the pool and returns them, or all when there are
    // no more.
    std::span<known_upstream *const> sample(std::span<known_upstream *> pool);

    base::random_source &m_random;
};

} // namespace oriolehold::flow
