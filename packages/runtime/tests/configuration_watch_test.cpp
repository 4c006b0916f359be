#include "oriolehold/runtime/configuration_watch.h"

#include "example_document.h"
#include "fake_http_server.h"

#include <condition_variable>

// Redefines new, so it comes after all other headers.
#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::runtime;
using namespace std::chrono_literals;
using testing::exampleText;
using testing::fake_http_server;
using testing::fake_response;

namespace {

// Records the generations that a watch applies.
class applied_generations
{
public:
    void add(const core::configuration_pointer &configuration)
    {
        const std::lock_guard lock(m_mutex);
        m_generations.push_back(configuration->generation());
        m_changed.notify_all();
    }
    // Waits up to 10 s until the last applied generation is the given one.
    bool waitFor(core::generation_number generation)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 10s, [&] {
            return !m_generations.empty() && m_generations.back() == generation;
        });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<core::generation_number> m_generations;
};

} // namespace

TEST_GROUP(configuration_watch)
{
    applied_generations applied;
    std::atomic<bool> release { false };

    configuration_watch::apply_function apply()
    {
        return [this](const core::configuration_pointer &configuration) {
            applied.add(configuration);
        };
    }
    // Handles a long poll: blocks until the test sets release, then responds that there is no newer
    // document.
    fake_response respondAfterRelease() const
    {
        while (!release.load())
            std::this_thread::sleep_for(5ms);
        return { 304, {} };
    }
};

TEST(configuration_watch, AppliesEachNewGenerationAndRequestsLaterOnes)
{
    fake_http_server platform([&](const std::string &query) -> fake_response {
        if (query == "/v1/configuration?after=0&wait=0")
            return { 200, exampleText(7) };
        if (query.starts_with("/v1/configuration?after=7&wait="))
            return { 200, exampleText(9) };
        return respondAfterRelease();
    });
    configuration_watch watch(platform.address, {}, 1, apply());
    watch.start();
    CHECK_TRUE(applied.waitFor(9));
    UNSIGNED_LONGS_EQUAL(9, watch.generation());
    STRCMP_EQUAL(exampleText(9).c_str(), watch.document().c_str());
    release.store(true);
    watch.stop();
}

TEST(configuration_watch, StopEndsARunningLongPollWithinASecond)
{
    std::atomic<bool> polling { false };
    fake_http_server platform([&](const std::string &query) -> fake_response {
        if (query == "/v1/configuration?after=0&wait=0")
            return { 200, exampleText(7) };
        polling.store(true);
        return respondAfterRelease();
    });
    configuration_watch watch(platform.address, {}, 1, apply());
    watch.start();
    while (!polling.load())
        std::this_thread::sleep_for(5ms);
    const auto began = std::chrono::steady_clock::now();
    watch.stop();
    CHECK_TRUE(std::chrono::steady_clock::now() - began < 1s);
    release.store(true);
}

TEST(configuration_watch, InvalidOrOlderDocumentOfThePlatformIsNotApplied)
{
    std::atomic<int> reads { 0 };
    fake_http_server platform([&](const std::string &) -> fake_response {
        switch (++reads) {
        case 1:
            return { 200, exampleText(7) };
        case 2:
            return { 200, exampleText(8).substr(0, 100) };
        case 3:
            return { 200, exampleText(6) };
        case 4:
            return { 200, std::string(2 * maxDocumentSize, ' ') };
        case 5:
            return { 200, exampleText(9) };
        default:
            return respondAfterRelease();
        }
    });
    configuration_watch watch(platform.address, {}, 1, apply());
    watch.start();
    CHECK_TRUE(applied.waitFor(9));
    UNSIGNED_LONGS_EQUAL(2, watch.rejectedCount());
    release.store(true);
    watch.stop();
}

// A platform that was restored from a copy serves an older document for some time. It is reachable,
// and the document that is published again must not wait for an exponential back-off.
TEST(configuration_watch, OlderDocumentOfThePlatformIsNoOutage)
{
    std::atomic<int> reads { 0 };
    fake_http_server platform([&](const std::string &) -> fake_response {
        switch (++reads) {
        case 1:
            return { 200, exampleText(7) };
        case 2:
            return { 200, exampleText(6) };
        case 3:
            return { 200, exampleText(8) };
        default:
            return respondAfterRelease();
        }
    });
    configuration_watch watch(platform.address, {}, 1, apply());
    watch.start();
    CHECK_TRUE(applied.waitFor(7));
    while (watch.rejectedCount() == 0)
        std::this_thread::sleep_for(5ms);
    CHECK_TRUE(watch.platformReachable());
    CHECK_TRUE(applied.waitFor(8));
    release.store(true);
    watch.stop();
}

TEST(configuration_watch, ReadsPeersWhenThePlatformIsUnreachableAtStart)
{
    fake_http_server peer([](const std::string &query) -> fake_response {
        return query == "/v1/configuration" ? fake_response { 200, exampleText(7) }
                                            : fake_response { 404, {} };
    });
    const core::endpoint closedAddress = testing::freeAddress();
    configuration_watch watch(closedAddress, { closedAddress, peer.address }, 1, apply());
    watch.start();
    CHECK_TRUE(applied.waitFor(7));
    watch.stop();
    CHECK_FALSE(watch.platformReachable());
}
