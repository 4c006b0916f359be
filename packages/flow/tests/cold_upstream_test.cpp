#include "oriolehold/flow/opening_limiter.h"
#include "oriolehold/flow/placement_policy.h"

#include "test_values.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t instanceCount = 26;
constexpr std::uint32_t upstreamCount = 30;
constexpr double rate = 20; // of a cold upstream
constexpr opening_bounds bounds { 1.5, 5 };

// Entry instances that place flows by reports, and the limits of the cold upstreams' agents.
struct cold_service
{
    struct result
    {
        int placed = 0;
        int refused = 0;
        std::vector<std::vector<base::time_point>> passed; // by cold upstream
    };

    explicit cold_service(std::uint32_t cold) : limiters(cold, opening_limiter { bounds })
    {
        for (auto &upstreams : instances) {
            for (std::uint32_t machine = 0; machine < upstreamCount; ++machine) {
                upstreams.push_back(idleUpstream(machine));
                upstreams.back().report.running = machine < cold ? 0 : 2;
            }
        }
        outcome.passed.resize(cold);
        for (opening_limiter &limiter : limiters)
            limiter.update(rate, atMilliseconds(0), atMilliseconds(-2000));
    }

    void report(base::time_point now)
    {
        for (opening_limiter &limiter : limiters)
            limiter.update(rate, now + 10s, now);
        for (auto &upstreams : instances) {
            for (known_upstream &item : upstreams) {
                item.reportedAt = item.capacityAt = now;
                item.assignedSinceReport = item.assignedSinceCapacity = 0;
                if (item.machine() >= limiters.size())
                    continue;
                item.capacity.openingRoom = limiters[item.machine()].room(200ms, now);
                item.share.update(item.capacity.openingRoom, rate);
            }
        }
    }

    void place(base::time_point now)
    {
        std::vector<known_upstream *> candidates;
        for (known_upstream &item : instances[random.below(instanceCount)])
            candidates.push_back(&item);
        ++outcome.placed;
        for (int attempt = 0; attempt < 3; ++attempt) {
            known_upstream &chosen = *policy.choose(candidates, "zone-a", now);
            ++chosen.assignedSinceReport;
            ++chosen.assignedSinceCapacity;
            if (chosen.machine() >= limiters.size())
                return;
            opening_limiter &limiter = limiters[chosen.machine()];
            if (limiter.mayPass(now)) {
                limiter.pass(now);
                limiter.flushed(now);
                // The packet reaches the upstream up to 40 ms later.
                outcome.passed[chosen.machine()].push_back(
                        now + std::chrono::milliseconds(random.below(40)));
                return;
            }
            ++outcome.refused;
            chosen.avoidUntil = now + 50ms;
        }
    }

    // Places flowsPerSecond for ten seconds.
    result run(int flowsPerSecond)
    {
        for (std::int64_t at = 0; at < 10'000; ++at) {
            if (at % 200 == 0)
                report(atMilliseconds(at));
            for (int i = 0; i < flowsPerSecond; ++i) {
                if (random.below(1000) == 0)
                    place(atMilliseconds(at));
            }
        }
        return outcome;
    }

    base::seeded_random random { 7 };
    expected_time_policy policy { random };
    std::vector<opening_limiter> limiters;
    std::array<std::vector<known_upstream>, instanceCount> instances;
    result outcome;
};

// Each cold upstream gets nearly the published rate, and no second exceeds the bound.
void check(const cold_service::result &result)
{
    for (const auto &passed : result.passed) {
        CHECK_TRUE(largestSecond(passed) <= 35);
        CHECK_TRUE(static_cast<double>(passed.size()) >= 0.9 * rate * 10);
    }
    CHECK_TRUE(result.refused < 0.02 * result.placed);
}

} // namespace

TEST_GROUP(cold_upstream) {};

// Guards against instances that all choose the upstream that their reports show as idle: it would
// be flooded, or the refusals would delay most flows.
TEST(cold_upstream, InstancesDoNotRushAtAnIdleColdUpstream)
{
    check(cold_service(1).run(1500));
    check(cold_service(1).run(600));
}

// Guards against refusals that cost round trips while a third of a service is cold.
TEST(cold_upstream, FewOpeningsAreRefusedWhileAThirdOfAServiceIsCold)
{
    check(cold_service(10).run(1500));
    check(cold_service(10).run(700));
}
