#pragma once

#include "internal/request_digest.h"
#include "oriolehold/core/flow_token.h"
#include "oriolehold/core/result_code.h"
#include "oriolehold/core/slot_scheduler.h"
#include "oriolehold/core/types.h"

#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

// Ledger of the tickets that this incarnation has received. It ensures that a non-idempotent
// request runs at most once and that a refusal is final.

namespace oriolehold::core::internal {

struct ticket_key
{
    std::uint32_t issuedAt = 0; // Unix seconds
    ticket_number number = 0;

    bool operator==(const ticket_key &) const = default;
    bool operator<(const ticket_key &other) const
    {
        return std::tie(issuedAt, number) < std::tie(other.issuedAt, other.number);
    }
};

struct ticket_key_hash
{
    std::size_t operator()(const ticket_key &key) const noexcept
    {
        return std::hash<std::uint64_t> {}(key.number << 16 ^ key.issuedAt);
    }
};

// The upstream's answer.
struct stored_answer
{
    std::uint8_t code = 0; // CoAP code
    std::shared_ptr<const byte_vector> payload;
};

enum class ticket_state : std::uint8_t { queued, running, done, refused, unknown };

struct ticket_record
{
    ticket_state state = ticket_state::queued;
    request_digest digest {};
    job_id job {};                            // queued or running
    result_code code = result_code::done;     // refused or unknown
    stored_answer answer;                     // done
    std::optional<flow_token_bytes> redirect; // refused, with a token for another upstream
};

// Result of a ticket's lookup.
enum class lookup_status : std::uint8_t {
    fresh,   // may be queued
    known,   // a copy of a request in the ledger
    reused,  // the ledger holds another request under this ticket
    expired, // may have run; its record may have been removed
    refused, // by the watermark, without a record
};

struct ticket_lookup
{
    lookup_status status = lookup_status::fresh;
    const ticket_record *record = nullptr; // with known
};

struct request_ledger_options
{
    std::size_t maxTickets = 100'000;
    std::size_t maxAnswerBytes = 64u << 20; // payloads of all stored answers
    std::chrono::seconds ticketLifetime { 120 };
};

class request_ledger
{
public:
    explicit request_ledger(request_ledger_options options) : m_options(options) { }

    // A longer lifetime does not make expired tickets valid again.
    void setTicketLifetime(std::chrono::seconds lifetime) { m_options.ticketLifetime = lifetime; }
    // Removes tickets whose lifetime and the maximum clock skew have passed.
    void expire(time_point now);

    ticket_lookup lookup(const ticket_key &key, const request_digest &digest) const;

    // Each expects a fresh ticket and returns false when the ledger is full; the ticket is then
    // refused permanently, without a record. A refusal with a token for another upstream may be
    // sent only when it is recorded: a copy would otherwise be answered "not run" although the
    // request may run elsewhere. For the same reason the watermark does not replace it.
    bool queue(const ticket_key &key, const request_digest &digest, job_id job);
    bool refuse(const ticket_key &key, const request_digest &digest, result_code code,
                std::optional<flow_token_bytes> redirect = std::nullopt);

    // Changes of a ticket that the ledger holds. dispatch() must be called right before the request
    // is sent to the upstream.
    void dispatch(const ticket_key &key);
    void refuseQueued(const ticket_key &key, result_code code,
                      std::optional<flow_token_bytes> redirect = std::nullopt);
    // The upstream reported that it did not run the request.
    void refuseRunning(const ticket_key &key, result_code code);
    void finish(const ticket_key &key, stored_answer answer);
    void finishUnknown(const ticket_key &key, result_code code);

    std::size_t size() const { return m_records.size(); }

private:
    ticket_record *find(const ticket_key &key);
    bool isFull() const;
    // Frees records by replacing the oldest refusals with the watermark.
    void evictRefusals();
    void erase(const ticket_key &key);
    bool isExpired(const ticket_key &key) const { return key.issuedAt < m_oldestAccepted; }

    request_ledger_options m_options;
    std::unordered_map<ticket_key, ticket_record, ticket_key_hash> m_records;
    // Records that can expire. A job that outlives its ticket keeps its record until it ends.
    std::set<ticket_key> m_expirable;
    std::set<ticket_key> m_refusals; // records that the watermark can replace
    std::size_t m_answerBytes = 0;
    // Tickets without a record that were issued at or before this time are refused.
    std::uint32_t m_refusalWatermark = 0;
    // Tickets without a record that were issued before this time are expired. Never decreases, so a
    // ticket whose record was dropped cannot become fresh again.
    std::uint32_t m_oldestAccepted = 0;
};

} // namespace oriolehold::core::internal
