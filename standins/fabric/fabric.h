#pragma once

#include "../common/support.h"

#include <array>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolehold::standins {

struct fabric_options
{
    std::string mapPath;
    std::uint64_t seed = 1;
    std::int64_t delayUs = 0; // one-way delay
    double loss = 0;          // probability per packet
    double duplicate = 0;     // probability per packet
    double reorder = 0;       // probability per packet
};

// Simulates the network between callers and entry instances. Forwards each packet that a caller
// sends to the address of a service to a random entry of the service, and forwards the replies to
// the caller. Each pair of caller and service has its own socket, so that an entry sees one
// endpoint per caller.
//
// The map file: {"services": [{"name": "orders", "address": "ip:port", "entries": ["ip:port"]}]}.
// It is reloaded when it changes. A service that was removed from the map keeps its socket, and
// packets from its callers are dropped.
class fabric
{
public:
    explicit fabric(fabric_options options);
    ~fabric();
    fabric(const fabric &) = delete;
    fabric &operator=(const fabric &) = delete;

    // Forwards packets until the descriptor becomes readable.
    void run(int stopDescriptor);
    // Counters of packets and sockets since the start.
    nlohmann::json counters() const;

private:
    struct service_port;

    // Socket that forwards one caller's packets to the entries of a service.
    struct caller_path
    {
        int descriptor = -1;
        service_port *service = nullptr;
        sockaddr_in caller {};
        std::int64_t lastUsedUs = 0;
    };

    struct service_port
    {
        int descriptor = -1;
        std::vector<sockaddr_in> entries;
        std::unordered_map<std::uint64_t, std::unique_ptr<caller_path>> paths; // by caller
    };

    struct delayed_packet
    {
        std::int64_t dueUs = 0;
        std::uint64_t number = 0; // preserves the order of packets with the same due time
        int descriptor = -1;
        sockaddr_in target {};
        std::string bytes;

        bool operator>(const delayed_packet &other) const
        {
            return std::tie(dueUs, number) > std::tie(other.dueUs, other.number);
        }
    };

    // Target of an epoll event. Both pointers are null for the stop descriptor.
    struct event_source
    {
        service_port *service = nullptr;
        caller_path *path = nullptr;
    };

    void readMap();
    void rereadChangedMap();
    void watch(int descriptor, event_source source);
    void forwardCallerPackets(service_port &service);
    void forwardEntryPackets(caller_path &path);
    caller_path *findOrOpenPath(service_port &service, const sockaddr_in &caller);
    void scheduleDelivery(int descriptor, const sockaddr_in &target, std::string_view bytes);
    void sendDuePackets(std::int64_t nowUs);
    void closeIdlePaths();
    int waitMilliseconds(std::int64_t nowUs) const;
    bool drawWithProbability(double probability);

    fabric_options m_options;
    std::mt19937_64 m_random;
    int m_epoll = -1;
    std::map<std::string, service_port> m_services;  // by the service's address
    std::unordered_map<int, event_source> m_sources; // by descriptor
    std::priority_queue<delayed_packet, std::vector<delayed_packet>, std::greater<>> m_delayed;
    std::filesystem::file_time_type m_mapTime;
    std::int64_t m_nowUs = 0;
    std::int64_t m_nextMapCheckUs = 0;
    std::int64_t m_nextIdleCheckUs = 0;
    std::uint64_t m_lastPacketNumber = 0;

    std::uint64_t m_fromCallers = 0;
    std::uint64_t m_fromEntries = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_duplicated = 0;
    std::uint64_t m_reordered = 0;
    std::uint64_t m_withoutEntry = 0;
    std::uint64_t m_sendFailures = 0;
    std::uint64_t m_openedPaths = 0;
};

} // namespace oriolehold::standins
