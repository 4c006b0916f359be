#include "overload_model.h"
#include "test_values.h"

#include "oriolehold/flow/admission_control.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::flow;

namespace {

constexpr std::array loads { 1.0, 1.5, 2.0, 3.0, 6.0 };

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

// Means over several seeds.
struct outcome
{
    double goodput = 0;
    double before = 0;         // share of requests in time
    double after = 0;          // share of requests in time
    double rejected = 0;       // answers 503 for each request
    double deliveredTries = 0; // for each request
    double urgentInTime = 0;   // share
    double othersInTime = 0;   // requests for each second and unit of capacity
};

outcome runControlled(overload_plan plan)
{
    constexpr unsigned seeds = 6;
    plan.identity.options.overloadControl = true;
    outcome mean;
    for (plan.seed = 1; plan.seed <= seeds; ++plan.seed) {
        overload_model model(plan);
        model.run();
        const phase_result &burst = model.burst();
        mean.goodput += model.goodput() / seeds;
        mean.before += share(model.before().inTime, model.before().arrivals) / seeds;
        mean.after += share(model.after().inTime, model.after().arrivals) / seeds;
        mean.rejected += share(burst.rejected, burst.arrivals) / seeds;
        mean.deliveredTries += share(burst.deliveredTries, burst.arrivals) / seeds;
        mean.urgentInTime += share(burst.urgentInTime, burst.urgent) / seeds;
        mean.othersInTime += static_cast<double>(burst.inTime - burst.urgentInTime)
                / (8 * overload_model::capacity) / seeds;
    }
    return mean;
}

void checkTargets(const overload_plan &plan)
{
    const outcome result = runControlled(plan);
    const std::string text = "load " + std::to_string(plan.load) + ", goodput "
            + std::to_string(result.goodput) + ", after " + std::to_string(result.after) + ", 503 "
            + std::to_string(result.rejected) + ", delivered tries "
            + std::to_string(result.deliveredTries);
    CHECK_TRUE_TEXT(result.goodput >= 0.9, text.c_str());
    CHECK_TRUE_TEXT(result.after >= result.before - 0.01, text.c_str());
    CHECK_TRUE_TEXT(result.rejected < 0.05, text.c_str());
    CHECK_TRUE_TEXT(result.deliveredTries < 1.3, text.c_str());
}

} // namespace

TEST_GROUP(overload) {};

// An upstream never answers a flow that its client has reset. Each such request took a place for
// 3 s, so that no request was served in time for seconds after the burst.
TEST(overload, ResetFlowsDoNotKeepPlacesTaken)
{
    overload_model model({ .load = 2.0, .atDeadline = overload_plan::leave::reset });
    model.run();

    CHECK(share(model.after().inTime, model.after().arrivals) >= 0.8);
}

// Late requests that were released to the upstream kept its queue full, so that at twice the
// capacity an eighth of it served requests in time.
TEST(overload, SlotsServeRequestsInTimeOfFlowsForOneRequest)
{
    for (const double load : loads)
        checkTargets({ .load = load });
}

TEST(overload, SlotsServeRequestsInTimeOfFlowsForManyRequests)
{
    for (const double load : loads)
        checkTargets({ .load = load, .longShare = 1.0 });
}

// Requests on open flows cannot be refused.
TEST(overload, SlotsServeRequestsInTimeOfFlowsOpenedBefore)
{
    for (const double load : loads)
        checkTargets({ .load = load, .longShare = 1.0, .openAhead = 800 });
}

TEST(overload, WayInWhichClientsLeaveMakesNoDifference)
{
    for (const auto leave : { overload_plan::leave::finish, overload_plan::leave::silent })
        checkTargets({ .load = 2.0, .longShare = 0.5, .logNormal = true, .atDeadline = leave });
}

// Strict priorities would leave the others without service; without priorities the urgent would
// wait like all.
TEST(overload, UrgentRequestsAreInTimeAndOthersAreServed)
{
    for (const double load : { 1.5, 2.0, 3.0, 6.0 }) {
        const outcome result = runControlled({ .load = load, .urgentLoad = 0.7 });
        const std::string text = "load " + std::to_string(load) + ", urgent "
                + std::to_string(result.urgentInTime) + ", others "
                + std::to_string(result.othersInTime);
        CHECK_TRUE_TEXT(result.urgentInTime >= 0.98, text.c_str());
        CHECK_TRUE_TEXT(result.othersInTime >= 0.1, text.c_str());
    }
}

TEST_GROUP(admission_control)
{
    admission_control admission;
    const base::time_point start = atMilliseconds(0);
    // Three places and 30 ms for a request: one ends every 10 ms.
    admission_load load { .places = 3, .running = 3, .meanServiceTime = base::duration { 30'000 } };

    bool admit(std::uint16_t port, std::uint8_t priority, std::int64_t at = 0,
               std::int64_t elapsed = 0)
    {
        packet_tag tag;
        tag.priority = priority;
        tag.latencyObjective = std::chrono::milliseconds { 200 };
        return admission.admit({ { 1, port }, ordersAddress }, tag,
                               std::chrono::milliseconds { elapsed }, load, atMilliseconds(at));
    }
};

// Entry instances see the load 200 ms late; a burst of opening packets arrives within less.
TEST(admission_control, OpeningPacketsCountUntilTheirRequestsArrive)
{
    for (std::uint16_t port = 1; port <= 8; ++port)
        CHECK_TRUE(admit(port, 1));
    CHECK_FALSE(admit(9, 1));
    admission.forget({ { 1, 3 }, ordersAddress });
    CHECK_TRUE(admit(9, 1));
    CHECK_FALSE(admit(10, 1, 199));
    CHECK_TRUE(admit(10, 1, 200));
}

TEST(admission_control, LessUrgentRequestsAreRefusedFirst)
{
    for (std::uint16_t port = 1; port <= 8; ++port)
        CHECK_TRUE(admit(port, 1));

    CHECK_FALSE(admit(9, 1));
    CHECK_TRUE(admit(9, 0));
}

// A service that is slower than its objective would refuse all its clients.
TEST(admission_control, FreePlaceIsGivenToLateRequests)
{
    CHECK_FALSE(admit(1, 1, 0, 600));
    load.running = 2;
    CHECK_TRUE(admit(1, 1, 0, 600));
    load = { .places = 3, .running = 0, .meanServiceTime = std::chrono::seconds { 1 } };
    CHECK_TRUE(admit(2, 1, 300));
}
