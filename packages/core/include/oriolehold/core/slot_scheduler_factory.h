#pragma once

#include "oriolehold/core/slot_scheduler.h"

#include <memory>

// Creates schedulers by the names that the settings and benchmarks use.

namespace oriolehold::core {

inline constexpr std::string_view defaultSchedulerName = "priority-lanes";

// name is "fifo", "reserved-slot", "shortest-expected" or "priority-lanes". Returns nullptr for any
// other name.
std::unique_ptr<slot_scheduler> makeScheduler(std::string_view name);

} // namespace oriolehold::core
