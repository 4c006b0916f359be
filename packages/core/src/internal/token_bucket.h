#pragma once

#include "oriolehold/core/types.h"

#include <algorithm>

// Rate limiter that allows bursts.

namespace oriolehold::core::internal {

class token_bucket
{
public:
    // The bucket starts full.
    token_bucket(double perSecond, double burst)
        : m_perSecond(perSecond), m_burst(burst), m_available(burst)
    { }

    // Consumes one token; returns false if none is left.
    bool tryAcquire(time_point now)
    {
        if (now > m_filledAt) {
            const std::chrono::duration<double> elapsed = now - m_filledAt;
            m_available = std::min(m_burst, m_available + elapsed.count() * m_perSecond);
            m_filledAt = now;
        }
        if (m_available < 1.0)
            return false;
        m_available -= 1.0;
        return true;
    }

private:
    double m_perSecond;
    double m_burst;
    double m_available;
    time_point m_filledAt {};
};

} // namespace oriolehold::core::internal
