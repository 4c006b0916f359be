#include "internal/json_object.h"

#include "oriolehold/runtime/endpoint_text.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace oriolehold::runtime::internal {

namespace {

const nlohmann::json emptyObject = nlohmann::json::object();

std::string rangeText(std::uint64_t minimum, std::uint64_t maximum)
{
    return "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

// Parser callback that finds duplicate fields in an object. Without it nlohmann::json keeps the
// last value and reports no error.
class duplicate_finder
{
public:
    bool operator()(int, nlohmann::json::parse_event_t event, nlohmann::json &parsed)
    {
        using event_type = nlohmann::json::parse_event_t;
        if (event == event_type::object_start)
            m_fields.emplace_back();
        else if (event == event_type::object_end)
            m_fields.pop_back();
        else if (event == event_type::key && !m_fields.back().insert(parsed).second && !m_duplicate)
            m_duplicate = parsed.get<std::string>();
        return true;
    }

    const std::optional<std::string> &duplicate() const { return m_duplicate; }

private:
    std::vector<std::set<std::string>> m_fields;
    std::optional<std::string> m_duplicate;
};

} // namespace

void error_collector::report(std::string path, std::string expected)
{
    if (!m_first)
        m_first = field_error { std::move(path), std::move(expected) };
}

nlohmann::json parseJson(std::string_view text, std::size_t maximumSize, error_collector &errors)
{
    if (text.size() > maximumSize) {
        errors.report("", "at most " + std::to_string(maximumSize) + " bytes");
        return {};
    }
    try {
        duplicate_finder finder;
        nlohmann::json result =
                nlohmann::json::parse(text.begin(), text.end(), std::ref(finder), true, true);
        if (finder.duplicate()) {
            errors.report(*finder.duplicate(), "a field only once per object");
            return {};
        }
        return result;
    } catch (const nlohmann::json::parse_error &error) {
        errors.report("", "valid JSON; the error is at byte " + std::to_string(error.byte));
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

} // namespace oriolehold::runtime::internal
