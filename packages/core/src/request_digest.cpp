#include "internal/request_digest.h"

#include <sodium.h>

namespace oriolehold::core::internal {

namespace {

class hasher
{
public:
    explicit hasher(std::size_t size) { crypto_generichash_init(&m_state, nullptr, 0, size); }

    // The length precedes the field, so that different sequences of fields have different input.
    void add(byte_view bytes)
    {
        const std::uint64_t size = bytes.size();
        std::array<std::uint8_t, sizeof(size)> encoded;
        std::memcpy(encoded.data(), &size, sizeof(size));
        crypto_generichash_update(&m_state, encoded.data(), encoded.size());
        crypto_generichash_update(&m_state, bytes.data(), bytes.size());
    }

    void add(std::string_view text)
    {
        add({ reinterpret_cast<const std::uint8_t *>(text.data()), text.size() });
    }

    void finish(std::span<std::uint8_t> digest)
    {
        crypto_generichash_final(&m_state, digest.data(), digest.size());
    }

private:
    crypto_generichash_state m_state;
};

} // namespace

request_digest digestOf(request_method method, std::string_view path,
                        std::span<const std::string> queries, byte_view payload)
{
    request_digest digest;
    hasher hash(digest.size());
    hash.add(method == request_method::get ? "GET" : "POST");
    hash.add(path);
    for (const std::string &query : queries)
        hash.add(query);
    hash.add(payload);
    hash.finish(digest);
    return digest;
}

std::uint64_t shortDigestOf(byte_view bytes)
{
    std::array<std::uint8_t, 16> digest;
    hasher hash(digest.size());
    hash.add(bytes);
    hash.finish(digest);
    std::uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof(value));
    return value;
}

} // namespace oriolehold::core::internal
