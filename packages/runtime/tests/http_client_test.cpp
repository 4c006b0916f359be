#include "oriolehold/runtime/http_client.h"

#include "fake_http_server.h"

// Redefines new, so it comes after all other headers.
#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::runtime;

TEST_GROUP(http_client) {};

// HTTP header names are case-insensitive; a reader that compares them exactly misses some.
TEST(http_client, HeaderNamesAreInLowerCase)
{
    testing::fake_http_server server { [](const std::string &) {
        return testing::fake_response { 200, "text", { { "Store-Era", "7" } } };
    } };
    const std::atomic<bool> stopped { false };
    const auto response =
            httpGet(server.address, "/", "", 100, std::chrono::seconds { 5 }, stopped);

    CHECK_TRUE(response.has_value());
    STRCMP_EQUAL("text", response->body.c_str());
    STRCMP_EQUAL("7", response->headers.at("store-era").c_str());
}
