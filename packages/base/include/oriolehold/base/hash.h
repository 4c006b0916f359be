#pragma once

#include <cstdint>
#include <span>

// Hash functions that give the same result in every process.

namespace oriolehold::base {

// Finalizer of SplitMix64: mixes all bits of a value.
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

// 64-bit FNV-1a hash.
template<typename Byte>
constexpr std::uint64_t fnv1a(std::span<const Byte> bytes)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const Byte byte : bytes)
        hash = (hash ^ static_cast<std::uint8_t>(byte)) * 0x100000001b3ULL;
    return hash;
}

} // namespace oriolehold::base
