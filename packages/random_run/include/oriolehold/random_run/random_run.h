#pragma once

#include "oriolehold/core/types.h"
#include "oriolehold/random_run/run_history.h"

#include <stdexcept>
#include <string>

// Simulates entry routers, agent cores, upstreams, callers and faults in virtual time. All random
// choices derive from one seed: the same seed gives the same run.

namespace oriolehold::random_run {

// Changes that happen during a run.
enum class change_plan {
    planned,  // joins, drains, replacements and key rotations; no flow may break
    faults,   // also kills, pauses, partitions, loss, duplicates and late duplicates
    restores, // also restores of the platform from a copy with an older document
};

// Behaviour of the system under test. The wrong variants show that the checks detect their faults.
enum class variant {
    correct,
    moduloRouting,   // entries ignore the token and hash the caller over the live upstreams
    sameIncarnation, // a restarted agent reuses its previous incarnation
};

struct run_options
{
    std::uint64_t seed = 1;
    change_plan plan = change_plan::planned;
    random_run::variant variant = random_run::variant::correct;
    core::duration length = std::chrono::seconds { 60 }; // virtual time with traffic and changes
    double ordersPerSecond = 40;                         // mean rate
    double guidesPerSecond = 2;                          // mean rate
    int feeds = 30; // observations that stay open for the whole run
};

struct run_result
{
    run_totals totals;
    std::uint64_t planSteps = 0; // planned changes and faults that were carried out
    std::uint64_t platformRestores = 0;
    std::uint64_t feedsHandedOver = 0; // handovers of a feed to another owner without a break
};

// Reports a failed invariant; what() gives its text and the virtual time in microseconds.
class violation : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Runs one simulation to its end. Throws violation when an invariant fails. Not reentrant, because
// it replaces the process-wide invariant handler.
run_result runOnce(const run_options &options);

} // namespace oriolehold::random_run
