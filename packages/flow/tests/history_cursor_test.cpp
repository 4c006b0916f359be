#include "oriolehold/flow/history_cursor.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::flow;

TEST_GROUP(history_cursor)
{
    history_cursor cursor;
};

TEST(history_cursor, FirstReadIsInFull)
{
    CHECK_FALSE(cursor.watchAfter().has_value());
    CHECK_FALSE(cursor.unchangedUntil({ 1, 9 }));
}

TEST(history_cursor, WatchContinuesAfterTheLastReadRevision)
{
    cursor.documentRead({ 1, 9 });
    CHECK_EQUAL(9, *cursor.watchAfter());
    CHECK_TRUE(cursor.unchangedUntil({ 1, 12 }));
    CHECK_EQUAL(12, *cursor.watchAfter());
}

// A restored store whose revisions have reached the position reports no change, although it may
// have changed the document at a lower revision.
TEST(history_cursor, WatchInARestoredStoreDoesNotProveThatNothingChanged)
{
    cursor.documentRead({ 1, 9 });
    CHECK_FALSE(cursor.unchangedUntil({ 2, 9 }));
    CHECK_FALSE(cursor.unchangedUntil({ 3, 30 }));

    cursor.documentRead({ 3, 31 });
    CHECK_TRUE(cursor.unchangedUntil({ 3, 31 }));
}

// A store that does not announce restores shows one by a lower revision only.
TEST(history_cursor, LowerRevisionDoesNotProveThatNothingChanged)
{
    cursor.documentRead({ 0, 9 });
    CHECK_FALSE(cursor.unchangedUntil({ 0, 8 }));
}
