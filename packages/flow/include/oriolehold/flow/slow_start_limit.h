#pragma once

#include "oriolehold/flow/concurrency_limit.h"

#include <array>

namespace oriolehold::flow {

// Slow start with additive increase (V. Jacobson, Congestion Avoidance and Control, 1988). The
// limit begins with one request and grows by one with each answer that comes while it is in use.
// Answers are judged in windows: when the median time of a window is much longer than that of the
// fastest window, the limit falls by a quarter and grows by one in as many answers from then on. It
// ends with a window at the maximum.
class slow_start_limit final : public concurrency_limit
{
public:
    // Answers in a window. The median of eight does not follow a few long requests.
    static constexpr std::size_t windowSize = 8;
    // Failures without an answer between them that start the limit again. An upstream that fails
    // half of its requests has such a run once in 256 requests.
    static constexpr unsigned failureRun = 8;

    void setMaximum(double requests) override;
    void upstreamStarted(base::time_point now) override;
    void upstreamRecovering(base::time_point now) override;
    void answered(base::duration serviceTime, double running, base::time_point now) override;
    void failed(base::time_point now) override;
    void advance(base::time_point now) override;
    void setWarmingUp(bool warming) override { m_warmingUp = warming; }
    bool isLimiting() const override { return m_limiting; }
    double limit() const override { return m_limiting ? m_limit : m_maximum; }
    std::string_view reason() const override { return m_reason; }

private:
    void begin(std::string_view reason, base::time_point now);
    void grow(double running);
    // Compares the full window with the fastest one.
    void judgeWindow();

    double m_maximum = 1.0;
    double m_limit = 1.0;
    bool m_limiting = false;
    bool m_warmingUp = false;
    bool m_doubling = false; // each answer raises the limit by one
    std::string_view m_reason = "none";
    base::time_point m_begunAt {};
    base::duration m_fastest {}; // median of the fastest window; 0: none so far
    std::array<base::duration, windowSize> m_window {};
    std::size_t m_windowCount = 0;
    unsigned m_failures = 0; // since the last answer
};

} // namespace oriolehold::flow
