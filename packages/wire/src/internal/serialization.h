#pragma once

#include "oriolehold/base/types.h"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <limits>
#include <span>

// Serialization of the types that the envelope and the flow codec share.

namespace oriolehold::base {

template<typename Archive>
void serialize(Archive &archive, endpoint &value)
{
    archive(value.address, value.port);
}

} // namespace oriolehold::base

namespace oriolehold::wire::internal {

// Upper bound of the length prefixes of byte containers and queries. It prevents a large allocation
// for a corrupt prefix.
inline constexpr std::uint16_t maxElements = 2048;

// Returns the number of elements to save: those beyond the bound are left out, so that the rest of
// the message stays readable.
template<typename Archive>
std::size_t saveSize(Archive &archive, std::size_t size)
{
    const std::size_t saved = std::min<std::size_t>(size, maxElements);
    archive(static_cast<std::uint16_t>(saved));
    return saved;
}

template<typename Archive>
std::size_t loadSize(Archive &archive)
{
    std::uint16_t size = 0;
    archive(size);
    if (size > maxElements)
        throw cereal::Exception("length prefix is too large");
    return size;
}

// Serialization of a byte container with a 16-bit length prefix.
template<typename Container>
struct length_prefixed_bytes
{
    Container &container;

    template<typename Archive>
    void save(Archive &archive) const
    {
        const std::size_t size = saveSize(archive, container.size());
        archive(cereal::binary_data(container.data(), size));
    }

    template<typename Archive>
    void load(Archive &archive)
    {
        container.resize(loadSize(archive));
        archive(cereal::binary_data(container.data(), container.size()));
    }
};

template<typename Container>
length_prefixed_bytes<Container> bytes(Container &container)
{
    return { container };
}

// Serialization of a bool or of an enumeration with consecutive values from 0 to Last as one byte.
// Copying any other byte than 0 and 1 into a bool would be undefined behaviour.
template<auto Last>
struct enumeration
{
    decltype(Last) &value;

    template<typename Archive>
    void save(Archive &archive) const
    {
        archive(static_cast<std::uint8_t>(value));
    }

    template<typename Archive>
    void load(Archive &archive)
    {
        std::uint8_t byte = 0;
        archive(byte);
        if (byte > static_cast<std::uint8_t>(Last))
            throw cereal::Exception("unknown value of a flag or an enumeration");
        value = static_cast<decltype(Last)>(byte);
    }
};

using flag = enumeration<true>;

// Serialization of a duration as the 64-bit count of its unit.
template<typename Duration>
struct duration_count
{
    Duration &value;

    template<typename Archive>
    void save(Archive &archive) const
    {
        archive(static_cast<std::int64_t>(value.count()));
    }

    template<typename Archive>
    void load(Archive &archive)
    {
        std::int64_t count = 0;
        archive(count);
        value = Duration { count };
    }
};

using microseconds = duration_count<base::duration>;
using milliseconds = duration_count<std::chrono::milliseconds>;

// cereal's own form of a text has a 64-bit length, which allocates any size for a corrupt one.
template<typename Archive, typename Item>
void archiveItem(Archive &archive, Item &item)
{
    if constexpr (std::is_same_v<Item, std::string>)
        archive(bytes(item));
    else
        archive(item);
}

// Serialization of a sequence with a 16-bit length prefix. Each element takes at least one byte, so
// decoding with a corrupt prefix stops at the end of the input.
template<typename Item>
struct length_prefixed_list
{
    std::vector<Item> &items;

    template<typename Archive>
    void save(Archive &archive) const
    {
        constexpr std::size_t maxItems = std::numeric_limits<std::uint16_t>::max();
        const std::size_t size = std::min(items.size(), maxItems);
        archive(static_cast<std::uint16_t>(size));
        for (Item &item : std::span(items).first(size))
            archiveItem(archive, item);
    }

    template<typename Archive>
    void load(Archive &archive)
    {
        std::uint16_t size = 0;
        archive(size);
        items.clear();
        while (items.size() < size)
            archiveItem(archive, items.emplace_back());
    }
};

} // namespace oriolehold::wire::internal
