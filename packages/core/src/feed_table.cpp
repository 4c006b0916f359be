#include "internal/feed_table.h"

#include "oriolehold/core/invariant.h"

#include <utility>

namespace oriolehold::core::internal {

registration_key makeRegistrationKey(const endpoint &caller, byte_view token)
{
    registration_key key { caller, 0, token.size() };
    for (const std::uint8_t byte : token)
        key.token = key.token << 8 | byte;
    return key;
}

feed &feed_table::add(feed_state state)
{
    const feed_id id { ++m_lastId };
    const bool inserted = m_byRegistration.emplace(keyOf(state), id).second;
    ORIOLEHOLD_INVARIANT(inserted, "a registration has one feed");
    feed &added = m_feeds[m_lastId];
    added.id = id;
    added.bodyDigest = digestOf(request_method::get, state.path, state.queries, {});
    added.state = std::move(state);
    return added;
}

void feed_table::erase(feed_id id)
{
    const auto found = m_feeds.find(toInteger(id));
    if (found == m_feeds.end())
        return;
    m_byRegistration.erase(keyOf(found->second.state));
    m_feeds.erase(found);
}

feed *feed_table::find(feed_id id)
{
    const auto found = m_feeds.find(toInteger(id));
    return found == m_feeds.end() ? nullptr : &found->second;
}

feed *feed_table::find(const registration_key &key)
{
    const auto found = m_byRegistration.find(key);
    return found == m_byRegistration.end() ? nullptr : find(found->second);
}

feed *feed_table::findByMessage(const endpoint &caller, std::uint16_t messageId)
{
    auto candidate = m_byRegistration.lower_bound({ caller, 0, 0 });
    for (; candidate != m_byRegistration.end() && candidate->first.caller == caller; ++candidate) {
        feed *found = find(candidate->second);
        if (found->hasSent(messageId))
            return found;
    }
    return nullptr;
}

std::vector<feed_id> feed_table::ids() const
{
    std::vector<feed_id> result;
    result.reserve(m_byRegistration.size());
    std::ranges::transform(m_byRegistration, std::back_inserter(result),
                           [](const auto &item) { return item.second; });
    return result;
}

} // namespace oriolehold::core::internal
