#pragma once

#include "oriolehold/core/types.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <concepts>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Strict reading of JSON documents. The first problem is kept with the path of the wrong value.

namespace oriolehold::runtime::internal {

struct field_error
{
    std::string path; // for example "listeners[0].address"; empty for the document as a whole
    std::string expected;
};

// Keeps the first reported error.
class error_collector
{
public:
    void report(std::string path, std::string expected);
    const std::optional<field_error> &first() const { return m_first; }

private:
    std::optional<field_error> m_first;
};

// Parses JSON with comments. Reports a syntax error with its position, repeated fields, and text
// larger than maximumSize bytes; the result is then null.
nlohmann::json parseJson(std::string_view text, std::size_t maximumSize, error_collector &errors);

// One JSON object. Each query consumes a field; reportUnknownFields() reports the fields that
// nobody asked for. After an error the queries return defaults, so callers check the collector once
// at the end.
class json_object
{
public:
    json_object(const nlohmann::json &value, std::string path, error_collector &errors);

    std::string pathOf(std::string_view name) const;
    void report(std::string_view name, std::string expected);

    // A required integer in [minimum, maximum].
    std::uint64_t integer(std::string_view name, std::uint64_t minimum, std::uint64_t maximum);
    // The same for the whole range of a type.
    template<std::unsigned_integral Integer>
    Integer integer(std::string_view name)
    {
        return static_cast<Integer>(integer(name, 0, std::numeric_limits<Integer>::max()));
    }
    std::uint64_t integerOr(std::string_view name, std::uint64_t fallback, std::uint64_t minimum,
                            std::uint64_t maximum);
    // Required number greater than 0 and at most maximum.
    double positiveNumber(std::string_view name, double maximum);
    bool boolean(std::string_view name);
    // Required text for which valid() holds.
    std::string text(std::string_view name, const std::function<bool(std::string_view)> &valid,
                     std::string_view expected);
    std::string textOr(std::string_view name, std::string fallback,
                       const std::function<bool(std::string_view)> &valid,
                       std::string_view expected);
    // Required identifier of 1 to 64 letters, digits, '.', '_' or '-'.
    std::string identifier(std::string_view name);
    // Position of the value within choices.
    std::size_t choice(std::string_view name, const std::vector<std::string_view> &choices);
    // Required "a.b.c.d:port".
    core::endpoint address(std::string_view name);

    // Calls read(element, path) for each element of an array.
    using element_reader = std::function<void(const nlohmann::json &, const std::string &)>;
    void elements(std::string_view name, std::size_t minimum, std::size_t maximum,
                  const element_reader &read);
    // Calls read(object) for each element of an array of objects.
    void objects(std::string_view name, std::size_t minimum, std::size_t maximum,
                 const std::function<void(json_object &)> &read);
    // The nested object, or an empty one when it is absent.
    json_object objectOr(std::string_view name);

    bool has(std::string_view name) const;
    // Reports an unknown field.
    void reportUnknownFields();

private:
    const nlohmann::json *find(std::string_view name);

    const nlohmann::json &m_value;
    std::string m_path;
    error_collector &m_errors;
    std::vector<std::string> m_queriedFields;
};

bool isIdentifier(std::string_view text);

inline constexpr std::string_view identifierRule = "1 to 64 letters, digits, '.', '_' or '-'";
inline constexpr std::string_view addressRule = "an address \"a.b.c.d:port\"";

} // namespace oriolehold::runtime::internal
