#include "oriolehold/daemon/message_counters.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;

TEST_GROUP(message_counters) {};

// The names are listed apart from the kinds; a kind added in between would shift them.
TEST(message_counters, CountsMessagesAndBytesByKind)
{
    daemon::message_counters counters;
    counters.sent(flow::entry_hello {}, 40);
    counters.sent(flow::entry_hello {}, 42);
    counters.received(flow::probe_result {}, 30);
    counters.received(flow::flow_denial {}, 20);
    const std::string text = counters.text();

    STRCMP_CONTAINS("oriolehold_messages_sent_total{kind=\"hello\"} 2\n", text.c_str());
    STRCMP_CONTAINS("oriolehold_messages_sent_bytes_total{kind=\"hello\"} 82\n", text.c_str());
    STRCMP_CONTAINS("oriolehold_messages_received_total{kind=\"probe_result\"} 1\n", text.c_str());
    STRCMP_CONTAINS("oriolehold_messages_received_bytes_total{kind=\"denial\"} 20\n", text.c_str());
}
