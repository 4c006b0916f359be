#pragma once

#include "oriolehold/base/types.h"

#include <istream>
#include <ostream>
#include <streambuf>

// Standard streams over memory; cereal's archives read and write only streams.

namespace oriolehold::wire::internal {

// Stream buffer that reads existing bytes in place, so that decoding does not copy them.
class view_buffer final : public std::streambuf
{
public:
    void setView(base::byte_view view)
    {
        // std::streambuf requires mutable characters, but this buffer only reads them.
        auto *begin = const_cast<char *>(reinterpret_cast<const char *>(view.data()));
        setg(begin, begin, begin + view.size());
    }
};

// Stream buffer that appends to a vector.
class append_buffer final : public std::streambuf
{
public:
    void setTarget(base::byte_vector &target) { m_target = &target; }

private:
    std::streamsize xsputn(const char *data, std::streamsize size) override
    {
        m_target->insert(m_target->end(), data, data + size);
        return size;
    }

    int_type overflow(int_type value) override
    {
        m_target->push_back(static_cast<std::uint8_t>(value));
        return value;
    }

    base::byte_vector *m_target = nullptr;
};

// A stream over one of the buffers above. Constructing a stream takes as long as the rest of an
// encoding, mostly for its locale, so each thread reuses one stream per direction.
template<typename Stream, typename Buffer>
struct buffered_stream
{
    Buffer buffer;
    Stream stream { &buffer };
};

} // namespace oriolehold::wire::internal
