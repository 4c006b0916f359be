#pragma once

#include <coap3/coap.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "support.h"

// C++ wrappers over libcoap's C interface.

namespace oriolehold::standins {

inline coap_address_t toCoapAddress(const std::string &text)
{
    coap_address_t result;
    coap_address_init(&result);
    result.addr.sin = parseAddress(text);
    result.size = sizeof(sockaddr_in);
    return result;
}

// Returns the values of all options with this number, in message order.
inline std::vector<std::string> optionValues(const coap_pdu_t *pdu, coap_option_num_t number)
{
    std::vector<std::string> result;
    coap_opt_iterator_t iterator;
    coap_opt_filter_t filter;
    coap_option_filter_clear(&filter);
    coap_option_filter_set(&filter, number);
    coap_option_iterator_init(pdu, &iterator, &filter);
    while (const coap_opt_t *option = coap_option_next(&iterator))
        result.emplace_back(reinterpret_cast<const char *>(coap_opt_value(option)),
                            coap_opt_length(option));
    return result;
}

inline std::optional<std::string> optionValue(const coap_pdu_t *pdu, coap_option_num_t number)
{
    auto values = optionValues(pdu, number);
    return values.empty() ? std::nullopt : std::optional(std::move(values.front()));
}

inline std::optional<std::uint32_t> uintOption(const coap_pdu_t *pdu, coap_option_num_t number)
{
    const auto value = optionValue(pdu, number);
    if (!value)
        return std::nullopt;
    return coap_decode_var_bytes(reinterpret_cast<const std::uint8_t *>(value->data()),
                                 value->size());
}

// Returns the value of the first "name=value" pair with this name among the Uri-Query options.
inline std::optional<std::string> queryValue(std::span<const std::string> queries,
                                             std::string_view name)
{
    const auto found = std::ranges::find_if(queries, [name](const std::string &query) {
        return query.size() > name.size() && query.starts_with(name) && query[name.size()] == '=';
    });
    return found == queries.end() ? std::nullopt : std::optional(found->substr(name.size() + 1));
}

inline std::int64_t queryNumber(std::span<const std::string> queries, std::string_view name,
                                std::int64_t fallback)
{
    const auto value = queryValue(queries, name);
    return value ? std::strtoll(value->c_str(), nullptr, 10) : fallback;
}

inline std::string payloadOf(const coap_pdu_t *pdu)
{
    std::size_t size = 0;
    const std::uint8_t *data = nullptr;
    if (coap_get_data(pdu, &size, &data) == 0)
        return {};
    return { reinterpret_cast<const char *>(data), size };
}

inline std::string tokenOf(const coap_pdu_t *pdu)
{
    const coap_bin_const_t token = coap_pdu_get_token(pdu);
    return { reinterpret_cast<const char *>(token.s), token.length };
}

inline void addOption(coap_pdu_t *pdu, coap_option_num_t number, std::string_view value)
{
    coap_add_option(pdu, number, value.size(),
                    reinterpret_cast<const std::uint8_t *>(value.data()));
}

inline void addUintOption(coap_pdu_t *pdu, coap_option_num_t number, std::uint32_t value)
{
    std::uint8_t buffer[4];
    const unsigned size = coap_encode_var_safe(buffer, sizeof(buffer), value);
    coap_add_option(pdu, number, size, buffer);
}

inline void addToken(coap_pdu_t *pdu, std::string_view token)
{
    coap_add_token(pdu, token.size(), reinterpret_cast<const std::uint8_t *>(token.data()));
}

inline void addPayload(coap_pdu_t *pdu, std::string_view payload)
{
    if (!payload.empty())
        coap_add_data(pdu, payload.size(), reinterpret_cast<const std::uint8_t *>(payload.data()));
}

} // namespace oriolehold::standins
