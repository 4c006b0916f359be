#pragma once

#include "oriolehold/core/types.h"

// Limits retries to a share of the requests, so that retries cannot multiply an overload.

namespace oriolehold::core {

struct retry_budget_options
{
    double share = 0.1;         // retries per request
    double minimumRate = 1.0;   // retries per second that are allowed without requests
    double maximumTokens = 100; // limit of saved retries
};

// A token bucket: requests and elapsed time add tokens, each retry consumes one. Not thread-safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    // Counts a first attempt.
    void recordRequest(time_point now);
    // Consumes a token for a retry; returns false if none is left.
    bool tryAcquire(time_point now);
    // Number of retries that are possible now without further requests.
    double available() const { return m_tokens; }

private:
    void addTokens(double tokens);
    void advance(time_point now);

    retry_budget_options m_options;
    double m_tokens;
    time_point m_updated;
    bool m_started = false;
};

} // namespace oriolehold::core
