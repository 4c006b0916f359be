#include "oriolehold/daemon/file_watch.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <unistd.h>

using namespace oriolehold::daemon;

TEST_GROUP(file_watch)
{
    const std::string path = "file_watch_test." + std::to_string(getpid());

    void write(const std::string &text) const
    {
        std::ofstream(path) << text;
    }
    void setup() override
    {
        write("one");
    }
    void teardown() override
    {
        std::filesystem::remove(path);
    }
};

TEST(file_watch, UntouchedFileIsUnchanged)
{
    file_watch watch(path);

    CHECK_FALSE(watch.changed());
}

TEST(file_watch, RewrittenFileChangesOnce)
{
    file_watch watch(path);
    write("three");

    CHECK_TRUE(watch.changed());
    CHECK_FALSE(watch.changed());
}

// A file may be replaced by removal and renaming; its absence in between is not a change.
TEST(file_watch, MissingFileIsUnchangedUntilItExistsAgain)
{
    file_watch watch(path);
    std::filesystem::remove(path);
    CHECK_FALSE(watch.changed());
    write("three");

    CHECK_TRUE(watch.changed());
}

TEST(file_watch, EmptyPathNeverChanges)
{
    file_watch watch("");

    CHECK_FALSE(watch.changed());
}
