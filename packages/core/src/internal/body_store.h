#pragma once

#include "internal/request_digest.h"
#include "internal/response.h"
#include "internal/timer_index.h"

#include <list>
#include <memory>
#include <tuple>
#include <unordered_map>

// Store of complete answers that callers read block by block (RFC 7959).

namespace oriolehold::core::internal {

inline constexpr std::uint8_t defaultBlockExponent = 6; // 1024 bytes

// A body belongs to the caller that requested it and to the request without its block number.
struct body_key
{
    endpoint caller;
    request_digest request {};

    bool operator==(const body_key &) const = default;
    bool operator<(const body_key &other) const
    {
        return std::tie(caller.address, caller.port, request)
                < std::tie(other.caller.address, other.caller.port, other.request);
    }
};

struct body_key_hash
{
    std::size_t operator()(const body_key &key) const noexcept
    {
        return endpoint_hash {}(key.caller) ^ request_digest_hash {}(key.request);
    }
};

enum class block_status : std::uint8_t {
    found,
    notFound,   // no body under this key
    outOfRange, // the body has no such block
};

struct block_result
{
    block_status status = block_status::notFound;
    response content;      // payload is valid until the store changes
    bool finished = false; // this was the last block
};

struct body_store_options
{
    std::size_t maxBytes = 64u << 20;
    duration idleLifetime = std::chrono::seconds { 30 };
    // After the last block was read, for a caller that did not receive it.
    duration finishedLifetime = std::chrono::seconds { 5 };
    // A repeated request for the first block within this time is a retry, not a new request.
    duration retryTime = std::chrono::seconds { 10 };
};

class body_store
{
public:
    explicit body_store(body_store_options options = {}) : m_options(options) { }

    // Stores a body and replaces a previous one under the key. A full store evicts bodies that were
    // read to the end first, then the least recently read ones. Returns false when the body alone
    // exceeds the limit.
    bool put(const body_key &key, coap::message_code code,
             std::shared_ptr<const byte_vector> payload, time_point now);
    block_result read(const body_key &key, coap::block_option block, time_point now);
    // Whether the store holds a body that was put within retryTime and not read to its end yet.
    bool isInProgress(const body_key &key, time_point now) const;

    // Number of bodies that were not read to their end yet.
    std::size_t unfinished() const { return m_unfinished; }
    std::size_t size() const { return m_bodies.size(); }
    std::size_t bytes() const { return m_bytes; }

    time_point nextTimer() const { return m_expiry.next(); }
    void expire(time_point now);

private:
    struct body
    {
        coap::message_code code {};
        std::shared_ptr<const byte_vector> payload;
        std::uint64_t etag = 0;
        bool finished = false;
        time_point created;
        std::list<body_key>::iterator recentPosition; // in m_recent
    };

    void erase(const body_key &key);
    void evict(std::size_t size);

    body_store_options m_options;
    std::unordered_map<body_key, body, body_key_hash> m_bodies;
    std::list<body_key> m_recent; // least recently read first
    timer_index<body_key, body_key_hash> m_expiry;
    std::size_t m_bytes = 0;
    std::size_t m_unfinished = 0;
};

} // namespace oriolehold::core::internal
