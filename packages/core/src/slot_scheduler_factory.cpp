#include "oriolehold/core/slot_scheduler_factory.h"

#include "oriolehold/core/fifo_scheduler.h"
#include "oriolehold/core/priority_lane_scheduler.h"
#include "oriolehold/core/reserved_slot_scheduler.h"
#include "oriolehold/core/shortest_expected_scheduler.h"

namespace oriolehold::core {

std::unique_ptr<slot_scheduler> makeScheduler(std::string_view name)
{
    if (name == "fifo")
        return std::make_unique<fifo_scheduler>();
    if (name == "reserved-slot")
        return std::make_unique<reserved_slot_scheduler>();
    if (name == "shortest-expected")
        return std::make_unique<shortest_expected_scheduler>();
    if (name == "priority-lanes")
        return std::make_unique<priority_lane_scheduler>();
    return nullptr;
}

} // namespace oriolehold::core
