#include "internal/body_store.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::core;
using namespace oriolehold::core::internal;
using oriolehold::coap::message_code;
using namespace std::chrono_literals;

TEST_GROUP(body_store)
{
    body_store store { { 1000, 30s, 5s } };
    time_point now { 1000s };

    static body_key key(std::uint8_t number)
    {
        return { { 1, number }, { number } };
    }
    void put(std::uint8_t number, std::size_t size)
    {
        store.put(key(number), message_code::content,
                  std::make_shared<const byte_vector>(size, number), now);
    }
    block_result read(std::uint8_t number, std::uint32_t block, std::uint8_t exponent = 0)
    {
        return store.read(key(number), { block, false, exponent }, now);
    }
};

TEST(body_store, BlocksOfAnyAllowedSizeMakeUpTheBody)
{
    put(1, 100);
    for (std::uint8_t exponent = 0; exponent <= 6; ++exponent) {
        std::size_t size = 0;
        block_result result;
        for (std::uint32_t number = 0; !result.finished; ++number) {
            result = read(1, number, exponent);
            CHECK_EQUAL(!result.finished, result.content.block2->more);
            CHECK_EQUAL(100, *result.content.size2);
            size += result.content.payload.size();
        }
        CHECK_EQUAL(100, size);
    }
    CHECK_TRUE(read(1, 7).status == block_status::outOfRange);
    CHECK_TRUE(read(1, 0xfffff, 6).status == block_status::outOfRange);
}

TEST(body_store, AnotherBodyHasAnotherEntityTag)
{
    put(1, 100);
    const auto first = read(1, 0).content.etag;
    put(1, 101);
    CHECK_TRUE(read(1, 0).content.etag != first);
}

TEST(body_store, IdleBodyExpiresAndReadingKeepsIt)
{
    put(1, 100);
    now += 29s;
    read(1, 0);
    now += 29s;
    store.expire(now);
    CHECK_EQUAL(1, store.unfinished());
    now += 1s;
    store.expire(now);
    CHECK_TRUE(read(1, 1).status == block_status::notFound);
    CHECK_EQUAL(0, store.unfinished());
    CHECK_EQUAL(0, store.bytes());
}

TEST(body_store, FullStoreEvictsFinishedBodiesBeforeIdleOnes)
{
    put(1, 400);
    put(2, 400);
    read(2, 0, 6); // to its end
    put(3, 400);
    CHECK_TRUE(read(2, 0).status == block_status::notFound);
    CHECK_TRUE(read(1, 0).status == block_status::found);
    put(4, 400);
    CHECK_TRUE(read(3, 0).status == block_status::notFound); // idle longer than the first
    CHECK_TRUE(store.bytes() <= 1000);
}
