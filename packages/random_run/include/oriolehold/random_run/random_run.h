#pragma once

#include "oriolehold/core/types.h"
#include "oriolehold/random_run/run_history.h"

#include <stdexcept>
#include <string>

// One randomised run in virtual time: entry routers, agent cores, upstreams, callers and faults,
// all derived from one seed. The same seed gives the same run.

namespace oriolehold::random_run {

enum class change_plan {
    planned, // joins, drains, replacements and key rotation only; no flow may break
    faults,  // also kills, pauses, partitions, loss, duplicates and late copies
};

// Deliberately wrong variants, which show that the checks find what they are meant for.
enum class variant {
    correct,
    moduloRouting,   // entries ignore the token and route by a hash over live upstreams
    sameIncarnation, // a restarted agent reuses the incarnation of its former self
};

struct run_options
{
    std::uint64_t seed = 1;
    change_plan plan = change_plan::planned;
    random_run::variant variant = random_run::variant::correct;
    core::duration length = std::chrono::seconds { 60 };
    double ordersPerSecond = 40;
    double guidesPerSecond = 2;
    int feeds = 30;
};

struct run_result
{
    run_totals totals;
    std::uint64_t planSteps = 0;       // planned changes and faults that were carried out
    std::uint64_t feedsHandedOver = 0; // feeds that changed their owner without a break
};

// A promise was broken. The text names the promise and the virtual time.
class violation : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Throws violation when an invariant fails. Not reentrant: it replaces the invariant handler.
run_result runOnce(const run_options &options);

} // namespace oriolehold::random_run
