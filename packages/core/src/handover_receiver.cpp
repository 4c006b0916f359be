#include "internal/handover_receiver.h"

namespace oriolehold::core::internal {

namespace {

// Time after which the connection reserved for an accepted feed is released without a commit. The
// old owner commits within milliseconds of the accept.
constexpr std::chrono::seconds reservationLifetime { 10 };
// Time for which a commit is recorded, so that a delayed or duplicated one does not open a feed
// again that has ended or was handed over. Longer than any drain and than the longest delay of a
// packet (247 s).
constexpr std::chrono::seconds committedLifetime { 300 };

} // namespace

void handover_receiver::receive(const endpoint &from, const handover_message &message,
                                time_point now)
{
    const transfer_key key { from, message.from, message.id };
    const auto found = m_transfers.find(key);
    const bool committed = found != m_transfers.end() && found->second.committed;
    if (message.step == handover_step::offer) {
        if (committed)
            return; // a late duplicate: the old owner has already sent the commit
        if (found == m_transfers.end()) {
            if (!m_sink.canAdopt(message.feed)) {
                reply(from, message, handover_step::refuse);
                return;
            }
            setExpiry(key, m_transfers[key], now + reservationLifetime);
            ++m_reserved;
        }
        reply(from, message, handover_step::accept);
    } else if (message.step == handover_step::commit) {
        if (!committed) {
            // A commit without a reservation is accepted too: the reservation has expired or was
            // lost with a previous incarnation, and no other agent owns the feed.
            if (found != m_transfers.end())
                --m_reserved;
            transfer &item = m_transfers[key];
            item.committed = true;
            setExpiry(key, item, now + committedLifetime);
            m_sink.adopt(message.feed, now);
        }
        reply(from, message, handover_step::done);
    }
}

void handover_receiver::advance(time_point now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        const auto found = m_transfers.find(m_byExpiry.begin()->second);
        m_byExpiry.erase(m_byExpiry.begin());
        m_reserved -= found->second.committed ? 0 : 1;
        m_transfers.erase(found);
    }
}

void handover_receiver::reply(const endpoint &to, const handover_message &message,
                              handover_step step)
{
    m_actions.sendHandover(to, { step, message.id, message.from, {} });
}

void handover_receiver::setExpiry(const transfer_key &key, transfer &item, time_point expiry)
{
    m_byExpiry.erase({ item.expiry, key });
    item.expiry = expiry;
    m_byExpiry.emplace(expiry, key);
}

} // namespace oriolehold::core::internal
