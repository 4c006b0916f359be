#pragma once

#include "oriolehold/runtime/log_events.h"

#include <span>
#include <string>

namespace oriolehold::runtime::internal {

// Formats a line such as "1001 process-start zone=a text=\"two words\"". Values with spaces,
// quotes, '=', backslashes or non-printable characters are quoted, so that external input cannot
// inject another field or line.
std::string formatText(const log_event_info &event, std::span<const log_field> fields);

// Formats the members of a JSON object without the braces:
// "event":1001,"name":"process-start","zone":"a"
std::string formatJsonMembers(const log_event_info &event, std::span<const log_field> fields);

} // namespace oriolehold::runtime::internal
