#include "oriolehold/core/request_classification.h"

#include <algorithm>
#include <array>

namespace oriolehold::core {

namespace {

// Uri-Path segments joined with '/', in a buffer of fixed size.
class joined_path
{
public:
    explicit joined_path(const coap::message_view &request)
    {
        request.forEachOption([&](coap::option_number number, byte_view value) {
            if (number == coap::option_number::uriPath)
                append(coap::asText(value));
        });
    }

    bool isAmbiguous() const { return m_ambiguous; }
    std::string_view text() const { return { m_buffer.data(), m_size }; }

private:
    void append(std::string_view segment)
    {
        m_ambiguous = m_ambiguous || segment.find('/') != std::string_view::npos;
        if (!m_first)
            m_buffer[m_size++] = '/';
        m_first = false;
        std::ranges::copy(segment, m_buffer.begin() + static_cast<std::ptrdiff_t>(m_size));
        m_size += segment.size();
    }

    // An encoded option takes at least one byte more than its value, so the joined path always
    // fits.
    std::array<char, coap::maxMessageSize> m_buffer;
    std::size_t m_size = 0;
    bool m_first = true;
    bool m_ambiguous = false;
};

} // namespace

const request_class *classifyRequest(const service &service, const coap::message_view &request)
{
    if (request.code() != coap::message_code::get && request.code() != coap::message_code::post)
        return nullptr;
    const joined_path path(request);
    if (path.isAmbiguous())
        return nullptr;
    const request_method method =
            request.code() == coap::message_code::get ? request_method::get : request_method::post;
    return findClass(service, method, path.text());
}

} // namespace oriolehold::core
