#include "internal/response.h"

namespace oriolehold::core::internal {

coap::message_builder encode(const response &value, coap::message_type type,
                             std::uint16_t messageId, byte_view token)
{
    using coap::option_number;
    coap::message_builder builder(type, value.code, messageId, token);
    if (value.etag) {
        std::array<std::uint8_t, sizeof(std::uint64_t)> bytes;
        for (std::size_t i = 0; i < bytes.size(); ++i)
            bytes[i] = static_cast<std::uint8_t>(*value.etag >> (8 * i));
        builder.option(option_number::etag, byte_view(bytes));
    }
    if (value.observe)
        builder.uintOption(option_number::observe, *value.observe);
    if (value.maxAge)
        builder.uintOption(option_number::maxAge, *value.maxAge);
    if (value.block2)
        builder.block2(*value.block2);
    if (value.size2)
        builder.uintOption(option_number::size2, *value.size2);
    if (!value.echo.empty())
        builder.option(option_number::echo, value.echo);
    builder.payload(value.payload);
    return builder;
}

} // namespace oriolehold::core::internal
