#include "oriolehold/net/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace oriolehold::net {

namespace {

constexpr int maxEvents = 64;
constexpr base::duration maxWait = std::chrono::seconds { 1 };

std::chrono::milliseconds roundUp(base::duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(
            std::clamp(value, base::duration::zero(), maxWait));
}

} // namespace

daemon_clock::daemon_clock()
    : m_start(std::chrono::duration_cast<base::duration>(
            std::chrono::system_clock::now().time_since_epoch())),
      m_steadyStart(std::chrono::steady_clock::now())
{ }

base::time_point daemon_clock::now() const
{
    return m_start
            + std::chrono::duration_cast<base::duration>(std::chrono::steady_clock::now()
                                                         - m_steadyStart);
}

event_loop::event_loop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_epoll < 0 || m_wakeup < 0)
        throw std::system_error(errno, std::generic_category(),
                                "cannot create epoll instance or eventfd");
    watch(m_wakeup, [this] {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto size = read(m_wakeup, &count, sizeof(count));
    });
}

event_loop::~event_loop()
{
    close(m_wakeup);
    close(m_epoll);
}

void event_loop::watch(int descriptor, std::function<void()> onReady)
{
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.u64 = m_watched.size();
    m_watched.push_back(std::move(onReady));
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void event_loop::post(std::function<void()> task)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_posted.push_back(std::move(task));
    }
    wake();
}

void event_loop::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopped = true;
    }
    wake();
}

void event_loop::run(const std::function<base::duration()> &onIdle)
{
    std::array<epoll_event, maxEvents> events;
    while (true) {
        runPosted();
        {
            const std::scoped_lock lock(m_mutex);
            if (m_stopped)
                return;
        }
        const auto wait = static_cast<int>(roundUp(onIdle()).count());
        const int count = epoll_wait(m_epoll, events.data(), maxEvents, wait);
        for (int i = 0; i < count; ++i)
            m_watched[events[static_cast<std::size_t>(i)].data.u64]();
    }
}

void event_loop::runPosted()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::scoped_lock lock(m_mutex);
        tasks.swap(m_posted);
    }
    std::ranges::for_each(tasks, [](const std::function<void()> &task) { task(); });
}

void event_loop::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto size = write(m_wakeup, &one, sizeof(one));
}

} // namespace oriolehold::net
