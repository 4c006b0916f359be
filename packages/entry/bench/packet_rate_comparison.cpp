#include "child_process.h"
#include "goal_document.h"

#include "oriolehold/coap/message.h"
#include "oriolehold/core/flow_token.h"
#include "oriolehold/net/udp_socket.h"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <poll.h>
#include <thread>

// Compares the packet rate of the entry daemon with that of a bare receive-and-send loop on
// loopback. Both run as separate processes with one traffic thread and get the same packets of
// established flows, in alternating rounds.

namespace {

using namespace oriolehold;
using namespace oriolehold::capacity;
using namespace std::chrono_literals;

constexpr std::size_t sinkCount = 2;
constexpr std::size_t senderCount = 2;
constexpr std::size_t packetCount = 10'000;
// For all senders together. Keeps the receive queue of the measured process filled without
// overflowing it.
constexpr std::uint64_t maxPacketsInFlight = 512;
// After this time without a packet, the packets in flight count as lost.
constexpr auto lossTimeout = 200ms;

void runBareLoop(const core::endpoint &local, const std::vector<core::endpoint> &targets)
{
    net::udp_socket input(local);
    net::udp_socket output({ loopback, 0 });
    pollfd waiting { input.descriptor(), POLLIN, 0 };
    std::size_t target = 0;
    while (true) {
        const auto packets = input.receive();
        if (packets.empty())
            poll(&waiting, 1, -1);
        for (const net::datagram &packet : packets) {
            output.send(targets[target], packet.bytes);
            target = (target + 1) % targets.size();
        }
        output.flush();
    }
}

// Senders and sinks. Senders send packets to the target port; the target forwards them to the
// sinks.
class load_generator
{
public:
    load_generator() : m_sinks(makeSinks()) { }

    ~load_generator()
    {
        m_stopped = true;
        std::ranges::for_each(m_threads, [](std::thread &thread) { thread.join(); });
    }

    std::vector<core::endpoint> sinks() const
    {
        std::vector<core::endpoint> result;
        for (const net::udp_socket &sink : m_sinks)
            result.push_back(sink.local());
        return result;
    }

    void start(std::vector<core::byte_vector> packets)
    {
        m_packets = std::move(packets);
        for (net::udp_socket &sink : m_sinks)
            m_threads.emplace_back([this, &sink] { receiveFrom(sink); });
        for (std::size_t i = 0; i < senderCount; ++i)
            m_threads.emplace_back([this, i] { send(i); });
    }

    // Port 0 pauses the senders.
    void setTargetPort(std::uint16_t port) { m_targetPort = port; }
    std::uint64_t received() const { return m_received.load(); }
    std::uint64_t sent() const { return m_sent.load(); }

private:
    static std::vector<net::udp_socket> makeSinks()
    {
        std::vector<net::udp_socket> sinks;
        for (std::size_t i = 0; i < sinkCount; ++i)
            sinks.emplace_back(core::endpoint { loopback, 0 });
        return sinks;
    }

    void receiveFrom(net::udp_socket &sink)
    {
        pollfd waiting { sink.descriptor(), POLLIN, 0 };
        while (!m_stopped) {
            const auto packets = sink.receive();
            if (packets.empty())
                poll(&waiting, 1, 10);
            m_received += packets.size();
        }
    }

    std::uint64_t packetsInFlight() const
    {
        const std::uint64_t arrived = m_received + m_lost;
        const std::uint64_t sent = m_sent;
        return sent > arrived ? sent - arrived : 0;
    }

    void send(std::size_t number)
    {
        net::udp_socket socket({ loopback, 0 });
        std::size_t position = number * m_packets.size() / senderCount;
        std::uint64_t lastReceived = 0;
        auto lastProgress = std::chrono::steady_clock::now();
        while (!m_stopped) {
            const std::uint16_t port = m_targetPort;
            if (port == 0) {
                std::this_thread::sleep_for(1ms);
                continue;
            }
            if (packetsInFlight() + net::udp_socket::batchSize > maxPacketsInFlight) {
                const auto now = std::chrono::steady_clock::now();
                if (m_received != lastReceived) {
                    lastReceived = m_received;
                    lastProgress = now;
                } else if (now - lastProgress > lossTimeout) {
                    m_lost += packetsInFlight();
                    lastProgress = now;
                }
                std::this_thread::yield();
                continue;
            }
            m_sent += net::udp_socket::batchSize;
            for (std::size_t i = 0; i < net::udp_socket::batchSize; ++i) {
                socket.send({ loopback, port }, m_packets[position]);
                position = (position + 1) % m_packets.size();
            }
            socket.flush();
        }
    }

    std::vector<net::udp_socket> m_sinks;
    std::vector<core::byte_vector> m_packets;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stopped { false };
    std::atomic<std::uint16_t> m_targetPort { 0 };
    std::atomic<std::uint64_t> m_sent { 0 };
    std::atomic<std::uint64_t> m_received { 0 };
    std::atomic<std::uint64_t> m_lost { 0 };
};

std::vector<core::byte_vector> establishedPackets(const core::configuration_content &content)
{
    const core::flow_token_codec codec(content);
    const auto issuedAt = static_cast<std::uint32_t>(std::time(nullptr));
    std::vector<core::byte_vector> packets;
    packets.reserve(packetCount);
    for (std::uint32_t i = 0; i < packetCount; ++i) {
        const core::upstream &owner = content.upstreams[i % content.upstreams.size()];
        const auto echo = codec.seal(
                { owner.service, owner.id, owner.agent, core::incarnation { 1 }, issuedAt, i },
                loopback);
        const std::array<std::uint8_t, 4> token { 1, 2, 3, 4 };
        coap::message_builder builder(coap::message_type::confirmable, coap::message_code::get,
                                      static_cast<std::uint16_t>(i), token);
        builder.option(coap::option_number::uriPath, "stock");
        builder.option(coap::option_number::echo, core::byte_view(echo));
        packets.push_back(builder.toVector());
    }
    return packets;
}

struct round_result
{
    double rate = 0.0;          // packets per second
    double processorTime = 0.0; // nanoseconds per packet
    double userTime = 0.0;      // nanoseconds per packet outside the kernel
    double coreShare = 0.0;     // share of one core
};

round_result measureRound(load_generator &load, std::uint16_t port, const child_process &process,
                          double seconds)
{
    load.setTargetPort(port);
    std::this_thread::sleep_for(100ms);
    const auto began = std::chrono::steady_clock::now();
    const double processorBegan = process.processorSeconds();
    const double userBegan = process.userSeconds();
    const std::uint64_t before = load.received();
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    const auto packets = static_cast<double>(load.received() - before);
    const double processor = process.processorSeconds() - processorBegan;
    const double user = process.userSeconds() - userBegan;
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - began;
    load.setTargetPort(0);
    std::this_thread::sleep_for(50ms);
    return { packets / time.count(), processor / packets * 1e9, user / packets * 1e9,
             processor / time.count() };
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

double medianOf(const std::vector<round_result> &rounds, double round_result::*member)
{
    std::vector<double> values;
    values.reserve(rounds.size());
    for (const round_result &item : rounds)
        values.push_back(item.*member);
    return median(std::move(values));
}

void compare(const std::string &entryProgram, const std::string &platformProgram, int rounds,
             double seconds, const std::filesystem::path &directory)
{
    load_generator load;
    const std::vector<core::endpoint> sinks = load.sinks();
    core::configuration_content content = makeContent(sinks.size(), 1, 1);
    for (std::size_t i = 0; i < sinks.size(); ++i)
        content.upstreams[i].agent = sinks[i];
    const core::endpoint listener = freeAddress(SOCK_DGRAM);
    const core::endpoint bare = freeAddress(SOCK_DGRAM);
    const core::endpoint envelopes = freeAddress(SOCK_DGRAM);
    content.entries.front().address = envelopes;
    const core::endpoint platform = freeAddress(SOCK_STREAM);
    const core::endpoint admin = freeAddress(SOCK_STREAM);
    writeFile(directory / "configuration.json", renderCompact(content));
    const nlohmann::json settings {
        { "id", core::toInteger(content.entries.front().id) },
        { "zone", content.entries.front().zone },
        { "envelope_address", core::toString(envelopes) },
        { "listeners",
          { { { "service", core::toInteger(content.services.front().id) },
              { "address", core::toString(listener) } } } },
        { "platform", core::toString(platform) },
        { "admin", core::toString(admin) },
        { "traffic_threads", 1 },
        { "log", { { "level", "error" } } },
    };
    writeFile(directory / "entry.json", settings.dump());

    const child_process bareLoop([&] { runBareLoop(bare, sinks); });
    const child_process platformServer([&] {
        execute({ platformProgram, "--listen", core::toString(platform), "--directory",
                  directory.string() });
    });
    std::this_thread::sleep_for(300ms);
    const child_process daemon([&] {
        execute({ entryProgram, "--config", (directory / "entry.json").string() });
    });
    std::this_thread::sleep_for(2s);

    load.start(establishedPackets(content));
    std::vector<round_result> bareRounds;
    std::vector<round_result> daemonRounds;
    std::printf("| round | program | packets/s | processor time, ns per packet | outside the "
                "kernel, ns | share of a core "
                "|\n|---|---|---|---|---|---|\n");
    const auto print = [](int round, const char *name, const round_result &result) {
        std::printf("| %d | %s | %.0f | %.0f | %.0f | %.2f |\n", round, name, result.rate,
                    result.processorTime, result.userTime, result.coreShare);
        std::fflush(stdout);
    };
    for (int i = 0; i < rounds; ++i) {
        bareRounds.push_back(measureRound(load, bare.port, bareLoop, seconds));
        print(i + 1, "bare loop", bareRounds.back());
        daemonRounds.push_back(measureRound(load, listener.port, daemon, seconds));
        print(i + 1, "entry daemon", daemonRounds.back());
    }
    std::vector<double> rateRatios;
    std::vector<double> processorRatios;
    rateRatios.reserve(bareRounds.size());
    processorRatios.reserve(bareRounds.size());
    for (std::size_t i = 0; i < bareRounds.size(); ++i) {
        rateRatios.push_back(daemonRounds[i].rate / bareRounds[i].rate);
        processorRatios.push_back(bareRounds[i].processorTime / daemonRounds[i].processorTime);
    }
    std::printf("\n| median | packets/s | processor time, ns per packet | outside the kernel, ns "
                "|\n|---|---|---|---|\n");
    std::printf("| bare loop | %.0f | %.0f | %.0f |\n", medianOf(bareRounds, &round_result::rate),
                medianOf(bareRounds, &round_result::processorTime),
                medianOf(bareRounds, &round_result::userTime));
    std::printf("| entry daemon | %.0f | %.0f | %.0f |\n",
                medianOf(daemonRounds, &round_result::rate),
                medianOf(daemonRounds, &round_result::processorTime),
                medianOf(daemonRounds, &round_result::userTime));
    std::printf("| ratio, daemon to bare loop (goal 0.60) | %.2f | %.2f | |\n",
                median(std::move(rateRatios)), median(std::move(processorRatios)));
    std::printf("\nPackets sent: %llu, received: %llu.\n",
                static_cast<unsigned long long>(load.sent()),
                static_cast<unsigned long long>(load.received()));
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Compares the packet rate of the entry daemon with a bare loop");
    TCLAP::ValueArg<std::string> entry("", "entry", "Entry daemon", true, "", "FILE", command);
    TCLAP::ValueArg<std::string> platform("", "platform", "Platform stand-in", true, "", "FILE",
                                          command);
    TCLAP::ValueArg<int> rounds("", "rounds", "Rounds of each program", false, 15, "number",
                                command);
    TCLAP::ValueArg<double> seconds("", "seconds", "Length of a round", false, 1.0, "seconds",
                                    command);
    command.parse(argc, argv);
    const temporary_directory directory;
    compare(entry.getValue(), platform.getValue(), rounds.getValue(), seconds.getValue(),
            directory.path());
    return 0;
}
