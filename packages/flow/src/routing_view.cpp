#include "oriolehold/flow/routing_view.h"

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
    }
    return "unknown";
}

} // namespace oriolehold::flow
