#include "oriolehold/base/types.h"

namespace oriolehold::base {

std::string toString(const endpoint &value)
{
    return std::to_string(value.address >> 24) + '.' + std::to_string(value.address >> 16 & 0xff)
            + '.' + std::to_string(value.address >> 8 & 0xff) + '.'
            + std::to_string(value.address & 0xff) + ':' + std::to_string(value.port);
}

std::size_t endpoint_hash::operator()(const endpoint &value) const noexcept
{
    // Finalizer of MurmurHash3 over address and port.
    std::uint64_t hash = std::uint64_t { value.address } << 16 | value.port;
    hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    // Lemire's multiply-shift; the bias is below 2^-32 for the small bounds in use.
    return static_cast<std::uint64_t>((static_cast<unsigned __int128>(next()) * bound) >> 64);
}

double random_source::uniform01()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

std::uint64_t seeded_random::next()
{
    std::uint64_t value = (m_state += 0x9e3779b97f4a7c15ULL);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace oriolehold::base
