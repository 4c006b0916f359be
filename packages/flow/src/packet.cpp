#include "oriolehold/flow/packet.h"

#include "oriolehold/base/hash.h"

#include <algorithm>

namespace oriolehold::flow {

namespace {

// Layout of a packed tag, from the low bits: 24 bits value, 4 bits priority, 4 bits instruction,
// 12 bits latency objective, 12 bits timeout.
constexpr unsigned instructionShift = 28;
constexpr unsigned priorityShift = 24;
constexpr std::uint32_t priorityMask = 0xf;
constexpr std::uint32_t valueMask = (1U << priorityShift) - 1;
constexpr unsigned objectiveShift = 32;
constexpr unsigned timeoutShift = 44;
constexpr std::uint64_t stepsMask = 0xfff;
constexpr std::chrono::milliseconds objectiveStep { 10 };
constexpr std::chrono::milliseconds timeoutStep { 100 };

std::uint64_t stepsOf(std::chrono::milliseconds time, std::chrono::milliseconds step)
{
    return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(time / step, 0)), stepsMask);
}

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

std::uint64_t pack(const packet_tag &tag)
{
    const std::uint32_t lowBits = static_cast<std::uint32_t>(tag.kind) << instructionShift
            | (tag.priority & priorityMask) << priorityShift | (tag.value & valueMask);
    return stepsOf(tag.timeout, timeoutStep) << timeoutShift
            | stepsOf(tag.latencyObjective, objectiveStep) << objectiveShift | lowBits;
}

packet_tag unpackTag(std::uint64_t bits)
{
    const auto lowBits = static_cast<std::uint32_t>(bits);
    const std::uint32_t kind = lowBits >> instructionShift;
    if (kind > static_cast<std::uint32_t>(packet_tag::instruction::unanswered))
        return {};
    return { static_cast<packet_tag::instruction>(kind), lowBits & valueMask,
             static_cast<std::uint8_t>(lowBits >> priorityShift & priorityMask),
             static_cast<std::int64_t>(bits >> objectiveShift & stepsMask) * objectiveStep,
             static_cast<std::int64_t>(bits >> timeoutShift & stepsMask) * timeoutStep };
}

std::uint32_t serviceDigest(std::string_view serviceName)
{
    const std::uint64_t hash = base::fnv1a(std::span<const char>(serviceName));
    return static_cast<std::uint32_t>(base::mixBits(hash)) & valueMask;
}

} // namespace oriolehold::flow
