#pragma once

#include "oriolehold/core/configuration.h"
#include "oriolehold/core/types.h"

// Interface of the policies that choose an upstream for a new flow.

namespace oriolehold::core {

// State of one upstream that an entry instance uses to place a flow.
struct upstream_candidate
{
    const core::upstream *upstream = nullptr;
    bool sameZone = false;
    double warmUpFactor = 1.0; // share of the full capacity, in (0, 1]
    double outstanding = 0.0;  // running and queued jobs: reported, plus assigned since the report
    duration expectedWait {};  // reported, plus the assignments since the report
    duration meanServiceTime {};           // 0 when unknown
    duration reportAge {};                 // time since the report; 0 when there is none
    class_kind kind = class_kind::request; // of the flow that is placed
};

class balancing_policy
{
public:
    virtual ~balancing_policy() = default;
    virtual std::string_view name() const = 0;
    // Returns the index of the chosen candidate. candidates must not be empty.
    virtual std::size_t choose(std::span<const upstream_candidate> candidates,
                               random_source &random) = 0;
};

} // namespace oriolehold::core
