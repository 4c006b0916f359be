#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

// Why an entry instance resets a client, for logs and metrics.

namespace oriolehold::flow {

// Totals of resets by reason.
class reset_counters
{
public:
    static constexpr std::string_view absent = "no upstream holds the flow";
    // The same, by a list that is not newer than the search (first_use_delay).
    static constexpr std::string_view absentByKnownList =
            "no upstream holds the flow, and the list is recent enough";

    static constexpr std::string_view overloaded =
            "overload: no upstream can serve the flow within its objective";

    // Label values of the metric. Others count as the last one.
    static constexpr std::array<std::string_view, 8> reasons {
        "no route",
        "no service of the route takes flows",
        "no upstream accepts flows",
        "refused by the upstreams",
        absent,
        absentByKnownList,
        overloaded,
        "other",
    };

    void add(std::string_view reason)
    {
        const auto known = std::ranges::find(reasons.begin(), reasons.end() - 1, reason);
        ++m_totals[static_cast<std::size_t>(known - reasons.begin())];
    }
    std::uint64_t operator[](std::size_t index) const { return m_totals[index]; }

private:
    std::array<std::uint64_t, reasons.size()> m_totals {};
};

} // namespace oriolehold::flow
