#include "oriolehold/runtime/json_object.h"

#include "oriolehold/runtime/endpoint_text.h"

#include <boost/unordered/unordered_flat_set.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace oriolehold::runtime {

namespace {

const nlohmann::json emptyObject = nlohmann::json::object();

std::string rangeText(std::uint64_t minimum, std::uint64_t maximum)
{
    return "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

// Thrown by the parser callback to end the parser at once.
struct limit_exceeded
{
    std::string expected;
};

// Parser callback that enforces the limits and finds duplicate fields in an object. Without it
// nlohmann::json keeps the last value of a field and reports no error.
class structure_checker
{
public:
    explicit structure_checker(const json_limits &limits) : m_limits(limits) { }

    bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed)
    {
        using event_type = nlohmann::json::parse_event_t;
        switch (event) {
        case event_type::object_start:
            beginValue(depth);
            m_fields.emplace_back();
            break;
        case event_type::array_start:
            beginValue(depth);
            break;
        case event_type::value:
            countValue();
            break;
        case event_type::key:
            if (!m_fields.back().insert(parsed.get_ref<const std::string &>()).second
                && !m_duplicate)
                m_duplicate = parsed.get<std::string>();
            break;
        case event_type::object_end:
            m_fields.pop_back();
            break;
        case event_type::array_end:
            break;
        }
        return true;
    }

    const std::optional<std::string> &duplicate() const { return m_duplicate; }

private:
    void beginValue(int depth)
    {
        if (static_cast<std::size_t>(depth) >= m_limits.maxDepth)
            throw limit_exceeded { "at most " + std::to_string(m_limits.maxDepth)
                                   + " nested arrays and objects" };
        countValue();
    }

    void countValue()
    {
        if (++m_values > m_limits.maxValues)
            throw limit_exceeded { "at most " + std::to_string(m_limits.maxValues) + " values" };
    }

    const json_limits &m_limits;
    std::size_t m_values = 0;
    std::vector<boost::unordered_flat_set<std::string>> m_fields; // of the open objects
    std::optional<std::string> m_duplicate;
};

} // namespace

void error_collector::report(std::string path, std::string expected, std::size_t byte)
{
    if (!m_first)
        m_first = field_error { std::move(path), std::move(expected), byte };
}

nlohmann::json parseJson(std::string_view text, const json_limits &limits, error_collector &errors)
{
    if (text.size() > limits.maxSize) {
        errors.report("", "at most " + std::to_string(limits.maxSize) + " bytes");
        return {};
    }
    try {
        structure_checker checker(limits);
        nlohmann::json result = nlohmann::json::parse(text.begin(), text.end(), std::ref(checker),
                                                      true, limits.allowComments);
        if (checker.duplicate()) {
            errors.report(*checker.duplicate(), "a field only once per object");
            return {};
        }
        return result;
    } catch (const limit_exceeded &limit) {
        errors.report("", limit.expected);
    } catch (const nlohmann::json::parse_error &error) {
        errors.report("", "valid JSON; the error is at byte " + std::to_string(error.byte),
                      error.byte);
    } catch (const nlohmann::json::exception &error) {
        errors.report("", std::string("valid JSON; ") + error.what());
    }
    return {};
}

json_object::json_object(const nlohmann::json &value, std::string path, error_collector &errors)
    : m_value(value.is_object() ? value : emptyObject), m_path(std::move(path)), m_errors(errors)
{
    if (!value.is_object())
        m_errors.report(m_path, "an object");
}

std::string json_object::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + '.' + std::string(name);
}

void json_object::report(std::string_view name, std::string expected)
{
    m_errors.report(pathOf(name), std::move(expected));
}

bool json_object::has(std::string_view name) const
{
    return m_value.contains(name);
}

const nlohmann::json *json_object::find(std::string_view name)
{
    m_queriedFields.emplace_back(name);
    const auto found = m_value.find(name);
    return found == m_value.end() ? nullptr : &*found;
}

std::uint64_t json_object::integer(std::string_view name, std::uint64_t minimum,
                                   std::uint64_t maximum)
{
    const nlohmann::json *value = find(name);
    if (value != nullptr && value->is_number_unsigned()) {
        const auto number = value->get<std::uint64_t>();
        if (number >= minimum && number <= maximum)
            return number;
    }
    report(name, rangeText(minimum, maximum));
    return minimum;
}

std::uint64_t json_object::integerOr(std::string_view name, std::uint64_t fallback,
                                     std::uint64_t minimum, std::uint64_t maximum)
{
    if (has(name))
        return integer(name, minimum, maximum);
    return fallback;
}

double json_object::positiveNumber(std::string_view name, double maximum)
{
    const nlohmann::json *value = find(name);
    if (value != nullptr && value->is_number()) {
        const auto number = value->get<double>();
        if (number > 0.0 && number <= maximum)
            return number;
    }
    report(name, "a number above 0 and up to " + nlohmann::json(maximum).dump());
    return maximum;
}

bool json_object::boolean(std::string_view name)
{
    const nlohmann::json *value = find(name);
    if (value != nullptr && value->is_boolean())
        return value->get<bool>();
    report(name, "true or false");
    return false;
}

std::string json_object::text(std::string_view name,
                              const std::function<bool(std::string_view)> &valid,
                              std::string_view expected)
{
    const nlohmann::json *value = find(name);
    if (value != nullptr && value->is_string()) {
        const auto &result = value->get_ref<const std::string &>();
        if (valid(result))
            return result;
    }
    report(name, std::string(expected));
    return {};
}

std::string json_object::textOr(std::string_view name, std::string fallback,
                                const std::function<bool(std::string_view)> &valid,
                                std::string_view expected)
{
    if (has(name))
        return text(name, valid, expected);
    return fallback;
}

std::string json_object::identifier(std::string_view name)
{
    return text(name, isIdentifier, identifierRule);
}

std::size_t json_object::choice(std::string_view name, const std::vector<std::string_view> &choices)
{
    const nlohmann::json *value = find(name);
    if (value != nullptr && value->is_string()) {
        const auto found = std::ranges::find(choices, value->get_ref<const std::string &>());
        if (found != choices.end())
            return static_cast<std::size_t>(found - choices.begin());
    }
    std::string expected = "one of";
    for (const std::string_view item : choices)
        expected += std::string(" \"") + std::string(item) + '"';
    report(name, expected);
    return 0;
}

core::endpoint json_object::address(std::string_view name)
{
    const std::string value = text(
            name, [](std::string_view item) { return parseEndpoint(item).has_value(); },
            addressRule);
    return parseEndpoint(value).value_or(core::endpoint {});
}

void json_object::elements(std::string_view name, std::size_t minimum, std::size_t maximum,
                           const element_reader &read)
{
    const nlohmann::json *value = find(name);
    if (value == nullptr || !value->is_array() || value->size() < minimum
        || value->size() > maximum) {
        report(name,
               "an array of " + std::to_string(minimum) + " to " + std::to_string(maximum)
                       + " elements");
        return;
    }
    for (std::size_t index = 0; index < value->size(); ++index)
        read((*value)[index], pathOf(name) + '[' + std::to_string(index) + ']');
}

void json_object::objects(std::string_view name, std::size_t minimum, std::size_t maximum,
                          const std::function<void(json_object &)> &read)
{
    elements(name, minimum, maximum,
             [this, &read](const nlohmann::json &element, const std::string &path) {
                 json_object object(element, path, m_errors);
                 read(object);
                 object.reportUnknownFields();
             });
}

json_object json_object::objectOr(std::string_view name)
{
    const nlohmann::json *value = find(name);
    return { value == nullptr ? emptyObject : *value, pathOf(name), m_errors };
}

void json_object::reportUnknownFields()
{
    for (const auto &[name, value] : m_value.items()) {
        if (std::ranges::find(m_queriedFields, name) == m_queriedFields.end())
            report(name, "no field with this name");
    }
}

bool isIdentifier(std::string_view text)
{
    return !text.empty() && text.size() <= 64 && std::ranges::all_of(text, [](unsigned char c) {
        return (c < 0x80 && std::isalnum(c) != 0) || c == '.' || c == '_' || c == '-';
    });
}

} // namespace oriolehold::runtime
