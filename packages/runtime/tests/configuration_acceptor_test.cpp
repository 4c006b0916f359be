#include "oriolehold/runtime/configuration_acceptor.h"

#include "example_document.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold::runtime;
using oriolehold::runtime::testing::exampleText;

TEST_GROUP(configuration_acceptor)
{
    configuration_acceptor acceptor;

    void check(offer_result expected, const std::string &text, std::uint64_t generation)
    {
        CHECK_TRUE(acceptor.offer(text) == expected);
        UNSIGNED_LONGS_EQUAL(generation, acceptor.generation());
    }
};

TEST(configuration_acceptor, OnlyHigherGenerationsTakeEffect)
{
    check(offer_result::accepted, exampleText(7), 7);
    check(offer_result::older, exampleText(6), 7);
    check(offer_result::unchanged, exampleText(7), 7);
    check(offer_result::accepted, exampleText(9), 9);
    STRCMP_EQUAL(exampleText(9).c_str(), acceptor.document().c_str());
}

TEST(configuration_acceptor, InvalidDocumentIsReportedAndThePreviousOneStays)
{
    check(offer_result::invalid, "{", 0);
    check(offer_result::accepted, exampleText(7), 7);
    auto document = oriolehold::runtime::testing::exampleDocument(8);
    document["upstreams"][0]["slots"] = 0;
    check(offer_result::invalid, document.dump(), 7);
    STRCMP_EQUAL("upstreams[0].slots", acceptor.error().path.c_str());
}

TEST(configuration_acceptor, SameGenerationWithAnotherContentIsAConflict)
{
    check(offer_result::accepted, exampleText(7), 7);
    check(offer_result::unchanged, exampleText(7) + "\n// reformatted", 7);
    auto document = oriolehold::runtime::testing::exampleDocument(7);
    document["upstreams"][0]["slots"] = 3;
    check(offer_result::conflicting, document.dump(), 7);
    LONGS_EQUAL(2, acceptor.current()->content().upstreams[0].slots);
}
