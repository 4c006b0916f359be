#include "oriolehold/runtime/json_slices.h"

#include <algorithm>

namespace oriolehold::runtime {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

// Position of the next character that is no white space; the size of the text when there is none.
std::size_t skipSpace(std::string_view text, std::size_t position)
{
    return std::min(text.find_first_not_of(whitespace, position), text.size());
}

// Position after the string that begins with the quote at position; npos when it does not end.
std::size_t skipString(std::string_view text, std::size_t position)
{
    std::size_t quote = position;
    while (true) {
        quote = text.find('"', quote + 1);
        if (quote == std::string_view::npos)
            return quote;
        const std::size_t lastOther = text.find_last_not_of('\\', quote - 1);
        const bool escaped = (quote - 1 - lastOther) % 2 == 1;
        if (!escaped)
            return quote + 1;
    }
}

// Position after the array or object that begins at position; npos when it does not end.
std::size_t skipStructure(std::string_view text, std::size_t position)
{
    std::size_t depth = 0;
    while (true) {
        position = text.find_first_of("\"[]{}", position);
        if (position == std::string_view::npos)
            return position;
        switch (text[position]) {
        case '"':
            position = skipString(text, position);
            if (position == std::string_view::npos)
                return position;
            continue;
        case '[':
        case '{':
            ++depth;
            break;
        default:
            --depth;
            break;
        }
        ++position;
        if (depth == 0)
            return position;
    }
}

// Position after the value that begins at position; npos when it does not end.
std::size_t skipValue(std::string_view text, std::size_t position)
{
    if (position >= text.size())
        return std::string_view::npos;
    if (text[position] == '"')
        return skipString(text, position);
    if (text[position] == '[' || text[position] == '{')
        return skipStructure(text, position);
    return text.find_first_of(",]} \t\r\n", position);
}

} // namespace

std::optional<std::string_view> fieldText(std::string_view object, std::string_view name)
{
    std::size_t position = skipSpace(object, 0);
    if (position == object.size() || object[position] != '{')
        return std::nullopt;
    do {
        const std::size_t nameBegin = skipSpace(object, position + 1);
        if (nameBegin == object.size() || object[nameBegin] != '"')
            return std::nullopt;
        const std::size_t nameEnd = skipString(object, nameBegin);
        if (nameEnd == std::string_view::npos)
            return std::nullopt;
        const std::size_t colon = skipSpace(object, nameEnd);
        if (colon == object.size() || object[colon] != ':')
            return std::nullopt;
        const std::size_t begin = skipSpace(object, colon + 1);
        const std::size_t end = skipValue(object, begin);
        if (end == std::string_view::npos)
            return std::nullopt;
        if (object.substr(nameBegin + 1, nameEnd - nameBegin - 2) == name)
            return object.substr(begin, end - begin);
        position = skipSpace(object, end);
    } while (position < object.size() && object[position] == ',');
    return std::nullopt;
}

std::optional<json_array_slices> sliceArray(std::string_view object, std::string_view name)
{
    const auto array = fieldText(object, name);
    if (!array || !array->starts_with('['))
        return std::nullopt;
    json_array_slices result;
    const auto arrayBegin = static_cast<std::size_t>(array->data() - object.data());
    result.envelope = std::string(object.substr(0, arrayBegin)) + "[]";
    result.envelope += object.substr(arrayBegin + array->size());
    std::size_t position = 0;
    do {
        const std::size_t begin = skipSpace(*array, position + 1);
        const std::size_t end = skipValue(*array, begin);
        if (end == std::string_view::npos)
            return std::nullopt;
        if (end > begin)
            result.elements.push_back(array->substr(begin, end - begin));
        position = skipSpace(*array, end);
    } while (position < array->size() && (*array)[position] == ',');
    return result;
}

} // namespace oriolehold::runtime
