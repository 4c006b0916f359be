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

// The upstream with the least expected load per slot. Expected load is what its agent reported,
// plus what this entry instance has assigned since.
class least_load_policy final : public placement_policy
{
public:
    explicit least_load_policy(base::random_source &random) : m_random(random) { }

    known_upstream *choose(std::span<known_upstream *const> candidates, std::string_view zone,
                           base::time_point now) override;

private:
    base::random_source &m_random;
};

} // namespace oriolehold::flow
