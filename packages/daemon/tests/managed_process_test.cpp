#include "oriolehold/daemon/managed_process.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace oriolehold::daemon;
using namespace std::chrono_literals;

namespace {

// Sends signals to itself at start and when a drain begins.
class fake_process final : public managed_process
{
public:
    void start() override
    {
        if (firstSignal != 0)
            kill(getpid(), firstSignal);
        else
            std::ofstream(file) << "changed";
    }
    std::string settingsFile() const override { return file; }
    void reload() override
    {
        ++reloads;
        kill(getpid(), SIGTERM);
    }
    void drain() override
    {
        ++drains;
        if (signalWhileDraining)
            kill(getpid(), SIGTERM);
        isDrained = drainsAtOnce;
    }
    bool drained() const override { return isDrained; }
    std::string remainingWork() const override { return "one feed"; }
    void stop() override { ++stops; }

    bool drainsAtOnce = true;
    bool signalWhileDraining = false;
    bool isDrained = false;
    int firstSignal = SIGTERM;
    std::string file;
    int reloads = 0;
    int drains = 0;
    int stops = 0;
};

} // namespace

TEST_GROUP(managed_process)
{
    fake_process process;

    void setup() override
    {
        blockHandledSignals();
    }
};

TEST(managed_process, FirstSignalDrainsBeforeTheStop)
{
    CHECK_TRUE(runUntilStopped(process, 10s).reason == stop_reason::drained);
    CHECK_EQUAL(1, process.drains);
    CHECK_EQUAL(1, process.stops);
}

TEST(managed_process, SecondSignalStopsAtOnce)
{
    process.drainsAtOnce = false;
    process.signalWhileDraining = true;

    CHECK_TRUE(runUntilStopped(process, 10s).reason == stop_reason::secondSignal);
    CHECK_EQUAL(1, process.stops);
}

TEST(managed_process, DrainLimitEndsADrainThatDoesNotFinish)
{
    process.drainsAtOnce = false;

    const stop_result result = runUntilStopped(process, 1ms);

    CHECK_TRUE(result.reason == stop_reason::drainLimit);
    STRCMP_EQUAL("one feed", result.cutOff.c_str());
    CHECK_EQUAL(1, process.stops);
}

// An unhandled SIGHUP terminates the process.
TEST(managed_process, HangUpReloadsAndDoesNotStop)
{
    process.firstSignal = SIGHUP;

    CHECK_TRUE(runUntilStopped(process, 10s).reason == stop_reason::drained);
    CHECK_EQUAL(1, process.reloads);
    CHECK_EQUAL(1, process.drains);
}

// The platform rewrites the settings file without sending a signal.
TEST(managed_process, ChangedSettingsFileReloads)
{
    process.firstSignal = 0;
    process.file = "managed_process_test." + std::to_string(getpid());
    std::ofstream(process.file) << "first";
    const stop_result result = runUntilStopped(process, 10s);
    std::filesystem::remove(process.file);

    CHECK_TRUE(result.reason == stop_reason::drained);
    CHECK_EQUAL(1, process.reloads);
}
