#include "oriolehold/runtime/configuration_acceptor.h"

#include "example_document.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::runtime;
using oriolehold::runtime::testing::exampleText;

TEST_GROUP(configuration_acceptor)
{
    configuration_acceptor acceptor;

    void check(acceptance expected, const std::string &text, std::uint64_t generation)
    {
        CHECK_TRUE(acceptor.offer(text) == expected);
        UNSIGNED_LONGS_EQUAL(generation, acceptor.generation());
    }
};

TEST(configuration_acceptor, OnlyHigherGenerationsTakeEffect)
{
    check(acceptance::accepted, exampleText(7), 7);
    check(acceptance::older, exampleText(6), 7);
    check(acceptance::unchanged, exampleText(7), 7);
    check(acceptance::accepted, exampleText(9), 9);
    STRCMP_EQUAL(exampleText(9).c_str(), acceptor.document().c_str());
}

TEST(configuration_acceptor, InvalidDocumentsKeepTheFormerOneAndAreExplained)
{
    check(acceptance::invalid, "{", 0);
    check(acceptance::accepted, exampleText(7), 7);
    auto document = oriolehold::runtime::testing::exampleDocument(8);
    document["upstreams"][0]["slots"] = 0;
    check(acceptance::invalid, document.dump(), 7);
    STRCMP_EQUAL("upstreams[0].slots", acceptor.error().path.c_str());
}

TEST(configuration_acceptor, SameGenerationWithAnotherContentIsAConflict)
{
    check(acceptance::accepted, exampleText(7), 7);
    check(acceptance::unchanged, exampleText(7) + "\n// reformatted", 7);
    auto document = oriolehold::runtime::testing::exampleDocument(7);
    document["upstreams"][0]["slots"] = 3;
    check(acceptance::conflicting, document.dump(), 7);
    LONGS_EQUAL(2, acceptor.current()->content().upstreams[0].slots);
}
