#include "oriolehold/flow/packet.h"

#include "oriolehold/base/hash.h"

namespace oriolehold::flow {

namespace {

constexpr unsigned instructionShift = 28;
constexpr unsigned priorityShift = 24;
constexpr std::uint32_t priorityMask = 0xf;
constexpr std::uint32_t valueMask = (1U << priorityShift) - 1;

std::uint64_t bitsOf(const base::endpoint &value)
{
    return std::uint64_t { value.address } << 16 | value.port;
}

} // namespace

std::size_t flow_key_hash::operator()(const flow_key &key) const noexcept
{
    return base::mixBits(base::mixBits(bitsOf(key.client)) + bitsOf(key.service));
}

std::string toString(const flow_key &key)
{
    return base::toString(key.client) + '>' + base::toString(key.service);
}

std::uint32_t pack(const packet_tag &tag)
{
    return static_cast<std::uint32_t>(tag.kind) << instructionShift
            | (tag.priority & priorityMask) << priorityShift | (tag.value & valueMask);
}

packet_tag unpackTag(std::uint32_t bits)
{
    const std::uint32_t kind = bits >> instructionShift;
    if (kind > static_cast<std::uint32_t>(packet_tag::instruction::refused))
        return {};
    return { static_cast<packet_tag::instruction>(kind), bits & valueMask,
             static_cast<std::uint8_t>(bits >> priorityShift & priorityMask) };
}

std::uint32_t serviceDigest(std::string_view serviceName)
{
    const std::uint64_t hash = base::fnv1a(std::span<const char>(serviceName));
    return static_cast<std::uint32_t>(base::mixBits(hash)) & valueMask;
}

} // namespace oriolehold::flow
