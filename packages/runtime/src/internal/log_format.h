#pragma once

#include "oriolehold/runtime/log_events.h"

#include <span>
#include <string>

namespace oriolehold::runtime::internal {

// "1001 process-start zone=a text=\"two words\""; values with other than visible characters are
// quoted, so that a value from outside cannot imitate another field or line.
std::string formatText(const log_event_info &event, std::span<const log_field> fields);

// The members of a JSON object without the braces: "event":1001,"name":"process-start","zone":"a"
std::string formatJsonMembers(const log_event_info &event, std::span<const log_field> fields);

} // namespace oriolehold::runtime::internal
