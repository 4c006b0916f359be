#pragma once

#include "oriolehold/base/types.h"

#include <string_view>

// Decides how many requests an upstream gets at the same time after it has started or recovered.

namespace oriolehold::flow {

class concurrency_limit
{
public:
    virtual ~concurrency_limit() = default;
    // Largest limit: what the upstream gets while it is not limited.
    virtual void setMaximum(double requests) = 0;
    // Another instance of the upstream has started, and nothing is known about it.
    virtual void upstreamStarted(base::time_point now) = 0;
    // The upstream answered nothing for a while, or has failed a run of requests.
    virtual void upstreamRecovering(base::time_point now) = 0;
    // A request was answered. running is the number of requests at the upstream before the answer,
    // this one included.
    virtual void answered(base::duration serviceTime, double running, base::time_point now) = 0;
    // The upstream broke off a request, or did not answer it in time.
    virtual void failed(base::time_point now) = 0;
    // Time has passed; called a few times a second at least.
    virtual void advance(base::time_point now) = 0;
    // The upstream is in the warm-up that is published for it.
    virtual void setWarmingUp(bool warming) = 0;
    // Whether the upstream is treated as one that has started or recovered.
    virtual bool isLimiting() const = 0;
    // Requests at the upstream at the same time, at least 1; the maximum while it is not limiting.
    virtual double limit() const = 0;
    // Why limit() changed last.
    virtual std::string_view reason() const = 0;
};

} // namespace oriolehold::flow
