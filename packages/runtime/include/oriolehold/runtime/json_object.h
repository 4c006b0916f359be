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

// Strict parsing of JSON documents. Keeps the first error with the path of the invalid value.

namespace oriolehold::runtime {

struct field_error
{
    std::string path;     // for example "listeners[0].address"; empty for the document as a whole
    std::string expected; // what a valid value is
    std::size_t byte = 0; // position of a syntax error, from 1; 0: unknown
};

// Keeps the first reported error and ignores later ones.
class error_collector
{
public:
    void report(std::string path, std::string expected, std::size_t byte = 0);
    const std::optional<field_error> &first() const { return m_first; }

private:
    std::optional<field_error> m_first;
};

// Limits of a JSON text. They are applied while it is parsed, before anything walks through the
// values: copies, comparisons and output recurse once a level.
struct json_limits
{
    std::size_t maxSize = 0;   // bytes
    std::size_t maxDepth = 32; // levels of nested arrays and objects
    // Elements and fields at all levels. Each takes up to 64 bytes of memory.
    std::size_t maxValues = 200'000;
    bool allowComments = true;
};

// Parses JSON. Reports a syntax error with its byte position, a duplicate field, or text beyond the
// limits; the result is then null.
nlohmann::json parseJson(std::string_view text, const json_limits &limits, error_collector &errors);

// Typed access to the fields of one JSON object. Each query records the field that it reads;
// reportUnknownFields() reports the others. After an error the queries return defaults, so callers
// check the error_collector once at the end.
class json_object
{
public:
    json_object(const nlohmann::json &value, std::string path, error_collector &errors);

    // Path of a field from the root of the document, for example "listeners[0].address".
    std::string pathOf(std::string_view name) const;
    void report(std::string_view name, std::string expected);

    // Required integer in [minimum, maximum].
    std::uint64_t integer(std::string_view name, std::uint64_t minimum, std::uint64_t maximum);
    // Required integer in the whole range of a type.
    template<std::unsigned_integral Integer>
    Integer integer(std::string_view name)
    {
        return static_cast<Integer>(integer(name, 0, std::numeric_limits<Integer>::max()));
    }
    // Optional integer in [minimum, maximum]; fallback if the field is absent.
    std::uint64_t integerOr(std::string_view name, std::uint64_t fallback, std::uint64_t minimum,
                            std::uint64_t maximum);
    // Required number greater than 0 and at most maximum.
    double positiveNumber(std::string_view name, double maximum);
    // Required true or false.
    bool boolean(std::string_view name);
    // Required string for which valid() returns true; expected describes it in the error.
    std::string text(std::string_view name, const std::function<bool(std::string_view)> &valid,
                     std::string_view expected);
    // Optional string for which valid() returns true; fallback if the field is absent.
    std::string textOr(std::string_view name, std::string fallback,
                       const std::function<bool(std::string_view)> &valid,
                       std::string_view expected);
    // Required identifier of 1 to 64 letters, digits, '.', '_' or '-'.
    std::string identifier(std::string_view name);
    // Required string that is one of choices; returns its position there.
    std::size_t choice(std::string_view name, const std::vector<std::string_view> &choices);
    // Required IPv4 address and port, "a.b.c.d:port".
    core::endpoint address(std::string_view name);

    // Calls read(element, path) for each element of a required array of minimum to maximum
    // elements.
    using element_reader = std::function<void(const nlohmann::json &, const std::string &)>;
    void elements(std::string_view name, std::size_t minimum, std::size_t maximum,
                  const element_reader &read);
    // Calls read(object) for each element of a required array of objects, and reports their unknown
    // fields.
    void objects(std::string_view name, std::size_t minimum, std::size_t maximum,
                 const std::function<void(json_object &)> &read);
    // The nested object, or an empty one when it is absent.
    json_object objectOr(std::string_view name);

    bool has(std::string_view name) const;
    // Reports the fields that no query has read.
    void reportUnknownFields();

private:
    const nlohmann::json *find(std::string_view name);

    const nlohmann::json &m_value;
    std::string m_path;
    error_collector &m_errors;
    std::vector<std::string> m_queriedFields;
};

// Whether text follows identifierRule.
bool isIdentifier(std::string_view text);

inline constexpr std::string_view identifierRule = "1 to 64 letters, digits, '.', '_' or '-'";
inline constexpr std::string_view addressRule = "an address \"a.b.c.d:port\"";

} // namespace oriolehold::runtime
