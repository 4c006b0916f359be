#include "oriolehold/core/request_classification.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::core;

TEST_GROUP(request_classification)
{
    service orders;

    void setup() override
    {
        request_class all;
        all.path = "orders";
        all.method = request_method::post;
        request_class kits = all;
        kits.path = "orders/kits";
        orders.classes = { all, kits };
    }

    const request_class *classify(coap::message_code method,
                                  const std::vector<std::string> &segments)
    {
        coap::message_builder builder(coap::message_type::confirmable, method, 1);
        for (const std::string &segment : segments)
            builder.option(coap::option_number::uriPath, segment);
        return classifyRequest(orders, *coap::message_view::parse(builder.bytes()));
    }
};

TEST(request_classification, LongestMatchingPathIsChosen)
{
    using enum coap::message_code;
    POINTERS_EQUAL(&orders.classes[0], classify(post, { "orders" }));
    POINTERS_EQUAL(&orders.classes[0], classify(post, { "orders", "kit" }));
    POINTERS_EQUAL(&orders.classes[1], classify(post, { "orders", "kits", "7" }));
}

TEST(request_classification, OtherMethodsAndPathsHaveNoClass)
{
    using enum coap::message_code;
    POINTERS_EQUAL(nullptr, classify(get, { "orders" }));
    POINTERS_EQUAL(nullptr, classify(put, { "orders" }));
    POINTERS_EQUAL(nullptr, classify(post, {}));
    POINTERS_EQUAL(nullptr, classify(post, { "order" }));
}

TEST(request_classification, SegmentWithSlashHasNoClass)
{
    // Upstreams parse it as one segment "orders/kits", which is a different resource.
    POINTERS_EQUAL(nullptr, classify(coap::message_code::post, { "orders/kits" }));
}
