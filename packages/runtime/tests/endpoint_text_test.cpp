#include "oriolehold/runtime/endpoint_text.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using runtime::parseEndpoint;

TEST_GROUP(endpoint_text) {};

TEST(endpoint_text, IsTheInverseOfToString)
{
    const core::endpoint address { 0x0a0100ff, 65535 };
    CHECK_TRUE(parseEndpoint(core::toString(address)) == address);
}

TEST(endpoint_text, RejectsTextThatIsNotExactlyAnAddressAndAPort)
{
    for (const char *text :
         { "", "10.0.0.1", "10.0.0:80", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
           "10.0.0.256:80", "10.0.0.01:80", "10.0.0.1:080", " 10.0.0.1:80", "10.0.0.1:80 ",
           "-1.0.0.1:80", "0.0.0.0:80", "host:80", "::1:80" })
        CHECK_FALSE_TEXT(parseEndpoint(text).has_value(), text);
}
