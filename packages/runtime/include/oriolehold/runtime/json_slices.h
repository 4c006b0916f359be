#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Splits a JSON text into the texts of its parts without parsing these, so that a part that cannot
// be parsed, or is too large to be worth it, does not make the others unreadable. Quotes and
// brackets are all that is looked at; nothing recurses.

namespace oriolehold::runtime {

// The text of a field's value in an object. Empty when the object has no such field, or when the
// text up to the field is not an object.
std::optional<std::string_view> fieldText(std::string_view object, std::string_view name);

// A text without the elements of one of its arrays, and these elements.
struct json_array_slices
{
    std::string envelope; // the object with an empty array
    std::vector<std::string_view> elements;
};

// Cuts the elements out of the array that the object has as a field. Empty when there is no such
// array, or when it does not end.
std::optional<json_array_slices> sliceArray(std::string_view object, std::string_view name);

} // namespace oriolehold::runtime
