#pragma once

#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <execinfo.h>
#include <filesystem>
#include <functional>
#include <mutex>
#include <semaphore.h>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <unistd.h>

// Ends a test program that hangs, and prints where each of its threads is.

namespace oriolehold::testing {

// Ends the process with status 1 when it still exists after the limit. Before that it prints the
// text of describe() and the stacks of all other threads to standard error. At most one at a time.
class watchdog
{
public:
    watchdog(std::chrono::seconds limit, const std::function<std::string()> &describe)
        : m_limit(limit), m_describe(describe)
    {
        sem_init(&printed, 0, 0);
        // The first call loads a library, which is not allowed in a signal handler.
        std::array<void *, 1> frame {};
        backtrace(frame.data(), 1);
        struct sigaction action
        { };
        action.sa_handler = [](int) { printStack(); };
        action.sa_flags = SA_RESTART;
        sigaction(SIGUSR2, &action, nullptr);
        m_thread = std::thread([this] { run(); });
    }

    watchdog(const watchdog &) = delete;
    watchdog &operator=(const watchdog &) = delete;

    ~watchdog()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_ended = true;
        }
        m_wake.notify_one();
        m_thread.join();
    }

private:
    // The stack of the thread that handles the signal. Calls only functions that allocate nothing.
    static void printStack()
    {
        constexpr int maxFrames = 64;
        const int savedError = errno;
        std::array<void *, maxFrames> frames {};
        backtrace_symbols_fd(frames.data(), backtrace(frames.data(), maxFrames), STDERR_FILENO);
        sem_post(&printed);
        errno = savedError;
    }

    static void write(std::string_view text)
    {
        for (std::span<const char> rest(text); !rest.empty();) {
            const ssize_t count = ::write(STDERR_FILENO, rest.data(), rest.size());
            if (count <= 0)
                return;
            rest = rest.subspan(static_cast<std::size_t>(count));
        }
    }

    // Waits for each stack, so that the lines of two threads do not mix. A thread that does not
    // handle the signal is left out after a second.
    static void printStackOf(const std::string &task)
    {
        pid_t thread = 0;
        std::from_chars(task.data(), task.data() + task.size(), thread);
        write("thread " + task + ":\n");
        if (thread <= 0 || tgkill(getpid(), thread, SIGUSR2) != 0)
            return;
        timespec end {};
        clock_gettime(CLOCK_REALTIME, &end);
        ++end.tv_sec;
        while (sem_timedwait(&printed, &end) != 0) {
            if (errno != EINTR) {
                write("no answer to the signal\n");
                return;
            }
        }
    }

    void run()
    {
        {
            std::unique_lock lock(m_mutex);
            if (m_wake.wait_for(lock, m_limit, [this] { return m_ended; }))
                return;
        }
        write("\nstill running after " + std::to_string(m_limit.count()) + " s: " + m_describe()
              + "\n");
        const std::string self = std::to_string(gettid());
        for (const auto &entry : std::filesystem::directory_iterator("/proc/self/task")) {
            const std::string task = entry.path().filename().string();
            if (task != self)
                printStackOf(task);
        }
        std::_Exit(EXIT_FAILURE);
    }

    static inline sem_t printed {}; // a stack; a semaphore may be posted by a signal handler

    std::chrono::seconds m_limit;
    std::function<std::string()> m_describe;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_ended = false;
    std::thread m_thread;
};

} // namespace oriolehold::testing
