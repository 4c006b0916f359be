#include "fabric.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

namespace oriolehold::standins {

namespace {

constexpr std::int64_t idleLimitUs = 120'000'000;
constexpr std::int64_t idleCheckIntervalUs = 5'000'000;
constexpr std::int64_t mapCheckIntervalUs = 20'000;
// Upper limit of the additional delay of a reordered packet.
constexpr std::int64_t maxReorderDelayUs = 10'000;
constexpr std::size_t maxPacketSize = 65'536;
// Limit per socket and event, so that one busy socket doesn't delay the others.
constexpr int maxPacketsPerRead = 64;
constexpr int receiveBufferSize = 4 * 1024 * 1024;

int openSocket(const sockaddr_in &address)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "socket");
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        const int error = errno;
        close(descriptor);
        throw std::system_error(error, std::generic_category(), "bind");
    }
    return descriptor;
}

std::uint64_t callerKey(const sockaddr_in &caller)
{
    return std::uint64_t { caller.sin_addr.s_addr } << 16 | caller.sin_port;
}

// Reads at most maxPacketsPerRead packets and calls handler(bytes, sender) for each.
template<typename Handler>
void readPackets(int descriptor, Handler handler)
{
    static std::array<char, maxPacketSize> buffer;
    for (int count = 0; count < maxPacketsPerRead; ++count) {
        sockaddr_in sender {};
        socklen_t senderSize = sizeof(sender);
        const ssize_t size = recvfrom(descriptor, buffer.data(), buffer.size(), 0,
                                      reinterpret_cast<sockaddr *>(&sender), &senderSize);
        if (size < 0)
            return;
        handler(std::string_view(buffer.data(), static_cast<std::size_t>(size)), sender);
    }
}

} // namespace

fabric::fabric(fabric_options options)
    : m_options(std::move(options)), m_random(m_options.seed), m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epoll < 0)
        throw std::system_error(errno, std::generic_category(), "epoll_create1");
    readMap();
}

fabric::~fabric()
{
    for (const auto &[descriptor, source] : m_sources)
        close(descriptor);
    close(m_epoll);
}

void fabric::run(int stopDescriptor)
{
    watch(stopDescriptor, {});
    std::array<epoll_event, 64> events {};
    for (bool stopped = false; !stopped;) {
        const int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()),
                                     waitMilliseconds(unixMicroseconds()));
        m_nowUs = unixMicroseconds();
        for (int index = 0; index < count; ++index) {
            const auto found = m_sources.find(events[static_cast<std::size_t>(index)].data.fd);
            if (found == m_sources.end())
                continue;
            const event_source origin = found->second;
            if (origin.service != nullptr)
                forwardCallerPackets(*origin.service);
            else if (origin.path != nullptr)
                forwardEntryPackets(*origin.path);
            else
                stopped = true;
        }
        sendDuePackets(m_nowUs);
        rereadChangedMap();
        closeIdlePaths();
    }
}

nlohmann::json fabric::counters() const
{
    return { { "from_callers", m_fromCallers },
             { "from_entries", m_fromEntries },
             { "lost", m_lost },
             { "duplicated", m_duplicated },
             { "reordered", m_reordered },
             { "without_entry", m_withoutEntry },
             { "send_failures", m_sendFailures },
             { "opened_paths", m_openedPaths } };
}

void fabric::readMap()
{
    m_mapTime = std::filesystem::last_write_time(m_options.mapPath);
    std::ifstream stream(m_options.mapPath);
    const nlohmann::json content = nlohmann::json::parse(stream);
    std::map<std::string, std::vector<sockaddr_in>> entries;
    for (const nlohmann::json &service : content.at("services")) {
        auto &list = entries[service.at("address").get<std::string>()];
        for (const nlohmann::json &entry : service.at("entries"))
            list.push_back(parseAddress(entry.get<std::string>()));
    }
    for (auto &[address, list] : entries) {
        service_port &service = m_services[address];
        if (service.descriptor < 0) {
            service.descriptor = openSocket(parseAddress(address));
            setsockopt(service.descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferSize,
                       sizeof(receiveBufferSize));
            watch(service.descriptor, { &service, nullptr });
        }
    }
    for (auto &[address, service] : m_services)
        service.entries = entries[address];
}

void fabric::rereadChangedMap()
{
    if (m_nowUs < m_nextMapCheckUs)
        return;
    m_nextMapCheckUs = m_nowUs + mapCheckIntervalUs;
    try {
        if (std::filesystem::last_write_time(m_options.mapPath) != m_mapTime)
            readMap();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "standin-fabric: cannot reload the map: %s\n", error.what());
    }
}

void fabric::watch(int descriptor, event_source source)
{
    m_sources[descriptor] = source;
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = descriptor;
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void fabric::forwardCallerPackets(service_port &service)
{
    readPackets(service.descriptor, [&](std::string_view bytes, const sockaddr_in &caller) {
        ++m_fromCallers;
        caller_path *path = findOrOpenPath(service, caller);
        if (path == nullptr || service.entries.empty()) {
            ++m_withoutEntry;
            return;
        }
        path->lastUsedUs = m_nowUs;
        scheduleDelivery(path->descriptor, service.entries[m_random() % service.entries.size()],
                         bytes);
    });
}

void fabric::forwardEntryPackets(caller_path &path)
{
    readPackets(path.descriptor, [&](std::string_view bytes, const sockaddr_in & /*entry*/) {
        ++m_fromEntries;
        path.lastUsedUs = m_nowUs;
        scheduleDelivery(path.service->descriptor, path.caller, bytes);
    });
}

fabric::caller_path *fabric::findOrOpenPath(service_port &service, const sockaddr_in &caller)
{
    auto &path = service.paths[callerKey(caller)];
    if (path == nullptr) {
        sockaddr_in any {};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto opened = std::make_unique<caller_path>();
        try {
            opened->descriptor = openSocket(any);
            watch(opened->descriptor, { nullptr, opened.get() });
        } catch (const std::system_error &) {
            service.paths.erase(callerKey(caller));
            return nullptr;
        }
        opened->service = &service;
        opened->caller = caller;
        path = std::move(opened);
        ++m_openedPaths;
    }
    return path.get();
}

void fabric::scheduleDelivery(int descriptor, const sockaddr_in &target, std::string_view bytes)
{
    if (drawWithProbability(m_options.loss)) {
        ++m_lost;
        return;
    }
    const int copies = drawWithProbability(m_options.duplicate) ? 2 : 1;
    m_duplicated += static_cast<std::uint64_t>(copies - 1);
    for (int copy = 0; copy < copies; ++copy) {
        std::int64_t delayUs = m_options.delayUs;
        if (drawWithProbability(m_options.reorder)) {
            ++m_reordered;
            delayUs += 1 + static_cast<std::int64_t>(m_random() % maxReorderDelayUs);
        }
        m_delayed.push({ m_nowUs + delayUs, ++m_lastPacketNumber, descriptor, target,
                         std::string(bytes) });
    }
}

void fabric::sendDuePackets(std::int64_t nowUs)
{
    while (!m_delayed.empty() && m_delayed.top().dueUs <= nowUs) {
        const delayed_packet &packet = m_delayed.top();
        const ssize_t sent =
                sendto(packet.descriptor, packet.bytes.data(), packet.bytes.size(), 0,
                       reinterpret_cast<const sockaddr *>(&packet.target), sizeof(packet.target));
        if (sent < 0)
            ++m_sendFailures;
        m_delayed.pop();
    }
}

void fabric::closeIdlePaths()
{
    if (m_nowUs < m_nextIdleCheckUs)
        return;
    m_nextIdleCheckUs = m_nowUs + idleCheckIntervalUs;
    for (auto &[address, service] : m_services) {
        std::erase_if(service.paths, [this](const auto &entry) {
            const caller_path &path = *entry.second;
            if (m_nowUs - path.lastUsedUs < idleLimitUs)
                return false;
            m_sources.erase(path.descriptor);
            close(path.descriptor);
            return true;
        });
    }
}

int fabric::waitMilliseconds(std::int64_t nowUs) const
{
    std::int64_t nextUs = m_nextMapCheckUs;
    if (!m_delayed.empty())
        nextUs = std::min(nextUs, m_delayed.top().dueUs);
    return static_cast<int>(std::max<std::int64_t>(0, (nextUs - nowUs + 999) / 1000));
}

bool fabric::drawWithProbability(double probability)
{
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

} // namespace oriolehold::standins
