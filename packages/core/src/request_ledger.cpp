#include "internal/request_ledger.h"

#include "oriolehold/core/invariant.h"

#include <algorithm>
#include <utility>

namespace oriolehold::core::internal {

void request_ledger::expire(time_point now)
{
    const auto nowSeconds = std::int64_t { unixSeconds(now) };
    const auto oldest = std::max<std::int64_t>(0, nowSeconds - m_options.ticketLifetime.count());
    m_oldestAccepted = std::max(m_oldestAccepted, static_cast<std::uint32_t>(oldest));
    const std::int64_t expiryLimit = std::int64_t { m_oldestAccepted } - maxClockSkew.count();
    while (!m_expirable.empty() && m_expirable.begin()->issuedAt < expiryLimit) {
        const ticket_key key = *m_expirable.begin();
        erase(key);
    }
}

ticket_lookup request_ledger::lookup(const ticket_key &key, const request_digest &digest) const
{
    const auto found = m_records.find(key);
    if (found != m_records.end()) {
        if (found->second.digest != digest)
            return { lookup_status::reused, nullptr };
        return { lookup_status::known, &found->second };
    }
    if (isExpired(key))
        return { lookup_status::expired, nullptr };
    if (key.issuedAt <= m_refusalWatermark)
        return { lookup_status::refused, nullptr };
    return { lookup_status::fresh, nullptr };
}

bool request_ledger::queue(const ticket_key &key, const request_digest &digest, job_id job)
{
    evictRefusals();
    if (isFull() || key.issuedAt <= m_refusalWatermark) {
        m_refusalWatermark = std::max(m_refusalWatermark, key.issuedAt);
        return false;
    }
    const bool inserted =
            m_records.emplace(key, ticket_record { ticket_state::queued, digest, job, {}, {}, {} })
                    .second;
    ORIOLEHOLD_INVARIANT(inserted, "a ticket is queued at most once");
    return true;
}

bool request_ledger::refuse(const ticket_key &key, const request_digest &digest, result_code code,
                            std::optional<flow_token_bytes> redirect)
{
    evictRefusals();
    if (isFull()) {
        m_refusalWatermark = std::max(m_refusalWatermark, key.issuedAt);
        return false;
    }
    const bool inserted =
            m_records
                    .emplace(
                            key,
                            ticket_record { ticket_state::refused, digest, {}, code, {}, redirect })
                    .second;
    ORIOLEHOLD_INVARIANT(inserted, "a ticket in the ledger is not refused again");
    m_expirable.insert(key);
    if (!redirect)
        m_refusals.insert(key);
    return true;
}

void request_ledger::dispatch(const ticket_key &key)
{
    ticket_record *record = find(key);
    ORIOLEHOLD_INVARIANT(record != nullptr, "a dispatched ticket has a record");
    if (record == nullptr)
        return;
    ORIOLEHOLD_INVARIANT(record->state != ticket_state::refused,
                         "a refused ticket is never dispatched");
    ORIOLEHOLD_INVARIANT(record->state == ticket_state::queued,
                         "a ticket is dispatched at most once");
    record->state = ticket_state::running;
}

void request_ledger::refuseQueued(const ticket_key &key, result_code code,
                                  std::optional<flow_token_bytes> redirect)
{
    ticket_record *record = find(key);
    ORIOLEHOLD_INVARIANT(record != nullptr && record->state == ticket_state::queued,
                         "a dispatched ticket is never refused");
    if (record == nullptr)
        return;
    record->state = ticket_state::refused;
    record->code = code;
    record->redirect = redirect;
    m_expirable.insert(key);
    if (!redirect)
        m_refusals.insert(key);
}

void request_ledger::refuseRunning(const ticket_key &key, result_code code)
{
    ticket_record *record = find(key);
    ORIOLEHOLD_INVARIANT(record != nullptr && record->state == ticket_state::running,
                         "only a dispatched ticket can be refused by the upstream");
    ORIOLEHOLD_INVARIANT(code == result_code::upstreamShed,
                         "a not-run answer is never sent for a dispatched ticket unless the "
                         "upstream refused it");
    if (record == nullptr)
        return;
    record->state = ticket_state::refused;
    record->code = code;
    m_expirable.insert(key);
    m_refusals.insert(key);
}

void request_ledger::finish(const ticket_key &key, stored_answer answer)
{
    ticket_record *record = find(key);
    ORIOLEHOLD_INVARIANT(record != nullptr && record->state == ticket_state::running,
                         "only a dispatched ticket has an answer");
    if (record == nullptr)
        return;
    record->state = ticket_state::done;
    record->answer = std::move(answer);
    m_answerBytes += record->answer.payload ? record->answer.payload->size() : 0;
    m_expirable.insert(key);
}

void request_ledger::finishUnknown(const ticket_key &key, result_code code)
{
    ticket_record *record = find(key);
    ORIOLEHOLD_INVARIANT(record != nullptr && record->state == ticket_state::running,
                         "only a dispatched ticket has an unknown result");
    if (record == nullptr)
        return;
    record->state = ticket_state::unknown;
    record->code = code;
    m_expirable.insert(key);
}

ticket_record *request_ledger::find(const ticket_key &key)
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

bool request_ledger::isFull() const
{
    return m_records.size() >= m_options.maxTickets || m_answerBytes >= m_options.maxAnswerBytes;
}

void request_ledger::evictRefusals()
{
    // Most records are refusals in an overload. Removing the oldest of them first keeps the
    // watermark far below the issue time of new tickets.
    while (m_records.size() >= m_options.maxTickets && !m_refusals.empty()) {
        const ticket_key oldest = *m_refusals.begin();
        m_refusalWatermark = std::max(m_refusalWatermark, oldest.issuedAt);
        erase(oldest);
    }
}

void request_ledger::erase(const ticket_key &key)
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return;
    const auto &payload = found->second.answer.payload;
    m_answerBytes -= payload ? payload->size() : 0;
    m_records.erase(found);
    m_expirable.erase(key);
    m_refusals.erase(key);
}

} // namespace oriolehold::core::internal
