#include "oriolehold/flow/probe_relay.h"

#include "flow_fakes.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::flow;
using namespace std::chrono_literals;

namespace {

constexpr flow_key key { { 0x64400007, 40001 }, { 0xc6120001, 443 } };
constexpr std::uint32_t entry = 500;

} // namespace

TEST_GROUP(probe_relay)
{
    std::vector<std::uint32_t> probed;
    std::vector<std::pair<std::uint32_t, probe_result>> results;
    probe_relay relay { [this](std::uint32_t machine, base::byte_view) {
                           probed.push_back(machine);
                       },
                        [this](std::uint32_t receiver, const probe_result &result) {
                            results.emplace_back(receiver, result);
                        } };

    void begin(std::vector<std::uint32_t> machines, std::int64_t at = 0,
               std::uint32_t receiver = entry)
    {
        relay.begin(receiver, key, { 7, std::move(machines), base::byte_vector(10, 1) },
                    atMilliseconds(at));
    }
};

TEST(probe_relay, ReturnsOneResultWhenAllMachinesHaveDenied)
{
    begin({ 1, 2 });
    CHECK_EQUAL(2, probed.size());
    relay.denied(key, 1);
    CHECK_EQUAL(0, results.size());
    relay.denied(key, 2);

    CHECK_EQUAL(1, results.size());
    CHECK_EQUAL(entry, results[0].first);
    CHECK_EQUAL(7, results[0].second.requestId);
    CHECK_EQUAL(2, results[0].second.denied.size());
    CHECK_EQUAL(0, results[0].second.owner);
}

TEST(probe_relay, ClaimIsReturnedAtOnce)
{
    begin({ 1, 2, 3 });
    relay.denied(key, 1);
    relay.claimed(key, 2);

    CHECK_EQUAL(1, results.size());
    CHECK_EQUAL(2, results[0].second.owner);
}

// A machine that did not answer must not be taken for one that denied.
TEST(probe_relay, SilentMachinesAreNotNamedInTheResult)
{
    begin({ 1, 2 });
    relay.denied(key, 2);
    relay.expire(atMilliseconds(19));
    CHECK_EQUAL(0, results.size());
    relay.expire(atMilliseconds(20));

    CHECK_EQUAL(1, results.size());
    CHECK_EQUAL(1, results[0].second.denied.size());
    CHECK_EQUAL(2, results[0].second.denied.front());
    CHECK_TRUE(relay.next() == base::time_point::max());
}

TEST(probe_relay, RepeatedDenialCountsOnce)
{
    begin({ 1, 2 });
    relay.denied(key, 1);
    relay.denied(key, 1);

    CHECK_EQUAL(0, results.size());
}

TEST(probe_relay, AnswersCountForAllSearchesOfTheFlow)
{
    begin({ 1 });
    begin({ 1 }, 5, entry + 1);
    relay.denied(key, 1);

    CHECK_EQUAL(2, results.size());
}

// The entry instance sends the probes itself then.
TEST(probe_relay, TooManySearchesAreNotBegun)
{
    for (std::size_t i = 0; i < probe_relay::maxSearches + 5; ++i)
        begin({ 1 });

    CHECK_EQUAL(probe_relay::maxSearches, probed.size());
}
