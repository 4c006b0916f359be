#include "oriolehold/flow/routing_view.h"

#include "oriolehold/flow/packet.h"

#include <algorithm>

namespace oriolehold::flow {

std::string_view toString(read_failure failure)
{
    switch (failure) {
    case read_failure::unreachable:
        return "unreachable";
    case read_failure::refused:
        return "refused";
    case read_failure::malformed:
        return "malformed";
    case read_failure::absent:
        return "absent";
    case read_failure::restored:
        return "restored";
    case read_failure::incomplete:
        return "incomplete";
    }
    return "unknown";
}

bool mayServe(const flow_route &route, std::string_view serviceName)
{
    return std::ranges::find(route.services, serviceName, &weighted_service::name)
            != route.services.end();
}

bool mayServe(const flow_route &route, std::uint32_t digest)
{
    return std::ranges::any_of(route.services, [digest](const weighted_service &item) {
        return serviceDigest(item.name) == digest;
    });
}

bool takesFlows(const flow_route &route, std::string_view serviceName)
{
    return std::ranges::any_of(route.services, [serviceName](const weighted_service &item) {
        return item.name == serviceName && item.weight > 0;
    });
}

} // namespace oriolehold::flow
