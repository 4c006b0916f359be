#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>

namespace oriolehold::runtime::internal {

// Rate limit of one log event: admits one line per interval and counts the suppressed ones.
// Thread-safe and lock-free, because it runs on the traffic path.
class log_rate_limit
{
public:
    // Returns the number of lines suppressed since the last admitted one, or an empty optional when
    // this line is suppressed. now must come from a monotonic clock.
    std::optional<std::uint64_t> admit(std::chrono::nanoseconds now,
                                       std::chrono::nanoseconds interval)
    {
        std::int64_t next = m_next.load(std::memory_order_relaxed);
        if (now.count() < next
            || !m_next.compare_exchange_strong(next, (now + interval).count(),
                                               std::memory_order_relaxed)) {
            m_suppressed.fetch_add(1, std::memory_order_relaxed);
            return std::nullopt;
        }
        return m_suppressed.exchange(0, std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_next { std::numeric_limits<std::int64_t>::min() };
    std::atomic<std::uint64_t> m_suppressed { 0 };
};

} // namespace oriolehold::runtime::internal
