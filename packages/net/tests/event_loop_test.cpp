#include "oriolehold/net/event_loop.h"
#include "oriolehold/net/udp_socket.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace oriolehold;
using namespace std::chrono_literals;

TEST_GROUP(event_loop)
{
    net::event_loop loop;
};

TEST(event_loop, PostedTaskRunsInTheLoopThreadAndStopEndsTheLoop)
{
    std::thread::id taskThread;
    std::thread poster([&] {
        loop.post([&] {
            taskThread = std::this_thread::get_id();
            loop.stop();
        });
    });

    loop.run([] { return base::duration { 1s }; });
    poster.join();

    CHECK_TRUE(taskThread == std::this_thread::get_id());
}

TEST(event_loop, HandlerOfAReadableSocketIsCalled)
{
    net::udp_socket receiver { { 0x7f000001, 0 } };
    net::udp_socket sender { { 0x7f000001, 0 } };
    std::size_t received = 0;
    loop.watch(receiver.descriptor(), [&] {
        received += receiver.receive().size();
        loop.stop();
    });
    sender.send(receiver.local(), base::byte_vector { 1 });
    sender.flush();

    loop.run([] { return base::duration { 1s }; });

    CHECK_EQUAL(1u, received);
}
