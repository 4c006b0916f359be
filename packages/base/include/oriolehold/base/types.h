#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <type_traits>
#include <vector>

// Basic value types that all packages share.

namespace oriolehold::base {

using byte_view = std::span<const std::uint8_t>;
using byte_vector = std::vector<std::uint8_t>;

using duration = std::chrono::microseconds;

// Clock type of the time points in all decisions: microseconds since the Unix epoch. The daemons
// advance it by the monotonic clock from the system time at their start; tests and randomised runs
// set it freely.
struct timeline_clock
{
    using duration = base::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<timeline_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std name
};
using time_point = timeline_clock::time_point;

// Whole seconds since the Unix epoch.
inline std::uint32_t unixSeconds(time_point time)
{
    return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count());
}

// Largest tolerated difference between the clocks of two machines.
inline constexpr std::chrono::seconds maxClockSkew { 5 };

enum class service_id : std::uint16_t {};
enum class upstream_id : std::uint16_t {};
enum class entry_id : std::uint16_t {};
// Identifies one run of an agent; a restarted agent has another value. 0 means "unknown".
enum class incarnation : std::uint32_t { unknown = 0 };

// The underlying integer of an identifier.
template<typename Enum>
constexpr std::underlying_type_t<Enum> toInteger(Enum value)
{
    return static_cast<std::underlying_type_t<Enum>>(value);
}

// Number of a published configuration. 0 means "none yet".
using generation_number = std::uint64_t;
// Idempotency key of a non-idempotent request, 48 bits.
using ticket_number = std::uint64_t;

// IPv4 address and UDP port, both in host byte order.
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes the defaulted operator for a null pointer constant.
    auto operator<=>(const endpoint &) const = default; // NOLINT(modernize-use-nullptr)
    bool isNull() const { return address == 0 && port == 0; }
};

// "a.b.c.d:port"
std::string toString(const endpoint &value);

struct endpoint_hash
{
    std::size_t operator()(const endpoint &value) const noexcept;
};

// Source of random numbers. Injected, so that a run can be repeated with its seed.
class random_source
{
public:
    virtual ~random_source() = default;
    // Uniform over all 64-bit values.
    virtual std::uint64_t next() = 0;
    // Uniform over [0, bound); bound must be positive.
    std::uint64_t below(std::uint64_t bound);
    // Uniform over [0, 1).
    double uniform01();
};

// Deterministic generator (SplitMix64) for tests and, seeded from the system, for daemons.
class seeded_random final : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed) : m_state(seed) { }
    std::uint64_t next() override;

private:
    std::uint64_t m_state;
};

} // namespace oriolehold::base
