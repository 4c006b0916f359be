#include "internal/body_store.h"

#include <algorithm>
#include <utility>

namespace oriolehold::core::internal {

bool body_store::put(const body_key &key, coap::message_code code,
                     std::shared_ptr<const byte_vector> payload, time_point now)
{
    erase(key);
    if (payload->size() > m_options.maxBytes)
        return false;
    evict(payload->size());
    m_bytes += payload->size();
    ++m_unfinished;
    const std::uint64_t etag = shortDigestOf(*payload);
    const auto recentPosition = m_recent.insert(m_recent.end(), key);
    m_bodies.emplace(key, body { code, std::move(payload), etag, false, now, recentPosition });
    m_expiry.set(key, now + m_options.idleLifetime);
    return true;
}

block_result body_store::read(const body_key &key, coap::block_option block, time_point now)
{
    const auto found = m_bodies.find(key);
    if (found == m_bodies.end())
        return { block_status::notFound, {}, false };
    body &item = found->second;
    const byte_view whole = *item.payload;
    const std::size_t offset = block.number * block.size();
    if (offset >= whole.size() && block.number > 0)
        return { block_status::outOfRange, {}, false };

    const std::size_t size = std::min(block.size(), whole.size() - offset);
    block_result result { block_status::found, {}, offset + size == whole.size() };
    block.more = !result.finished;
    result.content.code = item.code;
    result.content.etag = item.etag;
    result.content.block2 = block;
    result.content.size2 = static_cast<std::uint32_t>(whole.size());
    result.content.payload = whole.subspan(offset, size);

    if (result.finished && !item.finished) {
        item.finished = true;
        --m_unfinished;
    }
    m_recent.splice(m_recent.end(), m_recent, item.recentPosition);
    m_expiry.set(key, now + (item.finished ? m_options.finishedLifetime : m_options.idleLifetime));
    return result;
}

bool body_store::isInProgress(const body_key &key, time_point now) const
{
    const auto found = m_bodies.find(key);
    return found != m_bodies.end() && !found->second.finished
            && now - found->second.created < m_options.retryTime;
}

void body_store::expire(time_point now)
{
    while (const auto key = m_expiry.popDue(now))
        erase(*key);
}

void body_store::erase(const body_key &key)
{
    const auto found = m_bodies.find(key);
    if (found == m_bodies.end())
        return;
    m_bytes -= found->second.payload->size();
    m_unfinished -= found->second.finished ? 0 : 1;
    m_recent.erase(found->second.recentPosition);
    m_expiry.cancel(key);
    m_bodies.erase(found);
}

void body_store::evict(std::size_t size)
{
    if (m_bytes + size <= m_options.maxBytes)
        return;
    std::vector<body_key> finished;
    std::ranges::copy_if(m_recent, std::back_inserter(finished),
                         [this](const body_key &key) { return m_bodies.at(key).finished; });
    for (const body_key &key : finished) {
        if (m_bytes + size <= m_options.maxBytes)
            return;
        erase(key);
    }
    while (m_bytes + size > m_options.maxBytes && !m_recent.empty())
        erase(body_key { m_recent.front() });
}

} // namespace oriolehold::core::internal
