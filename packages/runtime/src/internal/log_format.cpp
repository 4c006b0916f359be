#include "internal/log_format.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace oriolehold::runtime::internal {

namespace {

std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

bool needsQuotes(const std::string &text)
{
    return text.empty() || std::ranges::any_of(text, [](char c) {
               return c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\';
           });
}

std::string render(const log_field &field, bool alwaysQuoted)
{
    if (const auto *text = std::get_if<std::string>(&field.value))
        return alwaysQuoted || needsQuotes(*text) ? quoted(*text) : *text;
    if (const auto *number = std::get_if<std::int64_t>(&field.value))
        return std::to_string(*number);
    return std::to_string(std::get<std::uint64_t>(field.value));
}

} // namespace

std::string formatText(const log_event_info &event, std::span<const log_field> fields)
{
    std::string line = std::to_string(static_cast<unsigned>(event.event)) + ' ';
    line += event.name;
    for (const log_field &field : fields)
        line.append(" ").append(field.name).append("=").append(render(field, false));
    return line;
}

std::string formatJsonMembers(const log_event_info &event, std::span<const log_field> fields)
{
    std::string line = "\"event\":" + std::to_string(static_cast<unsigned>(event.event))
            + ",\"name\":\"" + std::string(event.name) + '"';
    for (const log_field &field : fields)
        line.append(",\"").append(field.name).append("\":").append(render(field, true));
    return line;
}

} // namespace oriolehold::runtime::internal
