#include "internal/request_ledger.h"

#include "oriolehold/core/invariant.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::internal;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t start = 1'700'000'000;
constexpr request_digest digest { 1 };

int violations = 0;

void countViolation(std::string_view, const char *, int)
{
    ++violations;
}

time_point at(std::uint32_t seconds)
{
    return time_point { std::chrono::seconds { seconds } };
}

} // namespace

TEST_GROUP(request_ledger)
{
    request_ledger ledger { { 2, 1000, 120s } };

    bool queue(const ticket_key &key)
    {
        return ledger.queue(key, digest, job_id { 1 });
    }
    lookup_status status(const ticket_key &key) const
    {
        return ledger.lookup(key, digest).status;
    }
};

TEST(request_ledger, FullLedgerRefusesATicketPermanently)
{
    CHECK_TRUE(queue({ start, 1 }));
    CHECK_TRUE(queue({ start, 2 }));
    CHECK_FALSE(queue({ start + 10, 3 }));
    ledger.dispatch({ start, 1 });
    ledger.finish({ start, 1 }, {});
    ledger.dispatch({ start, 2 });
    ledger.finish({ start, 2 }, {});
    ledger.expire(at(start + 126)); // the ledger has free records again

    CHECK_EQUAL(0, ledger.size());
    CHECK_TRUE(status({ start + 10, 3 }) == lookup_status::refused);
    CHECK_TRUE(status({ start + 9, 4 }) == lookup_status::refused);
    CHECK_TRUE(status({ start + 11, 5 }) == lookup_status::fresh);
}

// Guards against the answer "not run" to a copy of an order that already runs under the redirect's
// token.
TEST(request_ledger, RefusalWithARedirectIsNotReplacedByTheWatermark)
{
    const flow_token_bytes echo { 7 };
    ledger.refuse({ start, 1 }, digest, result_code::draining, echo);
    CHECK_TRUE(queue({ start + 1, 2 }));
    CHECK_FALSE(queue({ start + 2, 3 }));

    const ticket_lookup found = ledger.lookup({ start, 1 }, digest);
    CHECK_TRUE(found.status == lookup_status::known);
    CHECK_TRUE(found.record->redirect == echo);
}

TEST(request_ledger, EvictedRefusalsStayRefused)
{
    ledger.refuse({ start, 1 }, digest, result_code::queueFull);
    ledger.refuse({ start + 1, 2 }, digest, result_code::queueFull);
    CHECK_TRUE(queue({ start + 2, 3 }));

    CHECK_EQUAL(2, ledger.size());
    CHECK_TRUE(status({ start, 1 }) == lookup_status::refused);
    CHECK_TRUE(status({ start + 1, 2 }) == lookup_status::known);
    CHECK_TRUE(status({ start + 2, 4 }) == lookup_status::fresh);
}

TEST(request_ledger, RemovedTicketStaysExpiredWhenTheLifetimeGrows)
{
    CHECK_TRUE(queue({ start, 1 }));
    ledger.dispatch({ start, 1 });
    ledger.finish({ start, 1 }, {});
    ledger.expire(at(start + 125));
    CHECK_TRUE(status({ start, 1 }) == lookup_status::known);
    ledger.expire(at(start + 126));
    ledger.setTicketLifetime(1000s);
    ledger.expire(at(start + 127));

    CHECK_TRUE(status({ start, 1 }) == lookup_status::expired);
}

TEST(request_ledger, LongJobKeepsItsRecordAndDoesNotDelayTheExpiryOfOthers)
{
    queue({ start, 1 });
    ledger.refuse({ start + 1, 2 }, digest, result_code::queueFull);
    ledger.expire(at(start + 200));
    CHECK_TRUE(status({ start, 1 }) == lookup_status::known);
    CHECK_EQUAL(1, ledger.size());

    ledger.dispatch({ start, 1 });
    ledger.finishUnknown({ start, 1 }, result_code::upstreamTimeout);
    ledger.expire(at(start + 201));
    CHECK_EQUAL(0, ledger.size());
}

TEST(request_ledger, ViolationsOfItsInvariantsAreReported)
{
    violations = 0;
    const invariant_handler previous = setInvariantHandler(countViolation);
    queue({ start, 1 });
    ledger.dispatch({ start, 1 });
    ledger.dispatch({ start, 1 }); // twice
    CHECK_EQUAL(1, violations);
    ledger.refuseQueued({ start, 1 }, result_code::canceled); // not-run although dispatched
    CHECK_EQUAL(2, violations);
    ledger.dispatch({ start, 1 }); // a refused ticket; also not queued
    CHECK_EQUAL(4, violations);
    setInvariantHandler(previous);
}

// Guards against a copy that is answered "not run" although the request may run elsewhere.
TEST(request_ledger, RefusalWithATokenKeepsItsRecord)
{
    const flow_token_bytes echo { 1, 2, 3 };
    CHECK_TRUE(ledger.refuse({ start, 1 }, digest, result_code::queueFull, echo));
    CHECK_TRUE(queue({ start, 2 }));
    ledger.refuseQueued({ start, 2 }, result_code::challenge, echo);
    CHECK_FALSE(ledger.refuse({ start + 1, 3 }, digest, result_code::queueFull, echo));

    CHECK_TRUE(ledger.lookup({ start, 1 }, digest).record->redirect == echo);
    CHECK_TRUE(ledger.lookup({ start, 2 }, digest).record->redirect == echo);
    CHECK_TRUE(status({ start + 1, 3 }) == lookup_status::refused);
}
