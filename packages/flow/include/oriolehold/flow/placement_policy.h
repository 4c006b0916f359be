#pragma once

#include "oriolehold/base/types.h"
#include "oriolehold/flow/upstream_directory.h"

#include <span>
#include <vector>

// Chooses the upstream for a new flow.

namespace oriolehold::flow {

class placement_policy
{
public:
    virtual ~placement_policy() = default;
    // Returns a candidate, or nullptr when there is none. Upstreams in zone are preferred.
    virtual known_upstream *choose(std::span<known_upstream *const> candidates,
                                   std::string_view zone, base::time_point now) = 0;
};

// Samples two upstreams at random and chooses the one with the shorter expected time for a request.
// The expected load is the load that the agent reported plus the flows that this entry instance has
// assigned since the report; it is weighted by the time that the upstream takes for a request.
// Sampling keeps entry instances with the same reports from all choosing the same upstream. An
// upstream whose agent limits its opening packets is considered with the probability of its share,
// and only while its room is not used up, unless no other one is left.
class expected_time_policy final : public placement_policy
{
public:
    // random must outlive the object.
    explicit expected_time_policy(base::random_source &random) : m_random(random) { }

    known_upstream *choose(std::span<known_upstream *const> candidates, std::string_view zone,
                           base::time_point now) override;

private:
    // Leaves out each upstream that its agent limits in as many placements as its slots are not
    // used. All entry instances see the same limit, and together they place no more flows on it
    // than on as many slots of another one.
    void dropBeyondLimits(std::vector<known_upstream *> &pool);
    // Moves two random upstreams to the front of the pool and returns them, or the whole pool if it
    // is smaller.
    std::span<known_upstream *const> sample(std::span<known_upstream *> pool);

    // Returns true with the probability.
    bool passesDraw(double probability);

    base::random_source &m_random;
};

} // namespace oriolehold::flow
