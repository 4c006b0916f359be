#pragma once

#include "oriolehold/core/types.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <netinet/in.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

// Child processes of a benchmark, and their addresses and files.

namespace oriolehold::capacity {

inline constexpr std::uint32_t loopback = 0x7f000001;

// Returns a loopback address whose port is free at the time of the call, for sockets of the type
// (SOCK_STREAM or SOCK_DGRAM).
inline core::endpoint freeAddress(int type)
{
    const int descriptor = socket(AF_INET, type, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(loopback);
    socklen_t size = sizeof(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        std::perror("bind");
        std::exit(1);
    }
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    close(descriptor);
    return { loopback, ntohs(address.sin_port) };
}

// A child process that is killed when the object is destroyed or this process ends.
class child_process
{
public:
    // The child calls body, which must return only on failure; the child then exits with status 1.
    explicit child_process(const std::function<void()> &body) : m_id(fork())
    {
        if (m_id < 0) {
            std::perror("fork");
            std::exit(1);
        }
        if (m_id == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            body();
            std::_Exit(1);
        }
    }
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    ~child_process()
    {
        kill(m_id, SIGKILL);
        waitpid(m_id, nullptr, 0);
    }

    // Processor time of all its threads so far, in seconds; 0 when it cannot be read.
    double processorSeconds() const
    {
        clockid_t clock {};
        timespec time {};
        if (clock_getcpuclockid(m_id, &clock) != 0 || clock_gettime(clock, &time) != 0)
            return 0.0;
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

    // Processor time in user mode, in seconds with the resolution of the kernel's clock ticks.
    double userSeconds() const
    {
        // Field 14 of the line; the name in parentheses may contain spaces.
        const std::string line = readFile("stat");
        std::istringstream fields(line.substr(line.rfind(')') + 1));
        std::string field;
        for (int i = 3; i <= 14; ++i)
            fields >> field;
        return std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

    // Value of a field of /proc/PID/status, for example "VmRSS", in kilobytes; 0 when it is
    // missing.
    double statusKilobytes(const std::string &name) const
    {
        const std::string text = readFile("status");
        const std::size_t found = text.find(name + ":");
        constexpr double kibibyte = 1.024; // kilobytes
        return found == std::string::npos
                ? 0.0
                : std::stod(text.substr(found + name.size() + 1)) * kibibyte;
    }

private:
    std::string readFile(const char *name) const
    {
        std::ifstream stream("/proc/" + std::to_string(m_id) + "/" + name);
        return { std::istreambuf_iterator<char>(stream), {} };
    }

    pid_t m_id;
};

// Replaces the process by the command; returns only on failure.
inline void execute(const std::vector<std::string> &command)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    execv(arguments.front(), arguments.data());
    std::perror(arguments.front());
}

inline void writeFile(const std::filesystem::path &path, std::string_view text)
{
    std::ofstream(path) << text;
}

// A temporary directory that the destructor removes with its files.
class temporary_directory
{
public:
    temporary_directory()
        : m_path((std::filesystem::temp_directory_path() / "oriolehold-bench-XXXXXX").string())
    {
        if (mkdtemp(m_path.data()) == nullptr) {
            std::perror("mkdtemp");
            std::exit(1);
        }
    }
    temporary_directory(const temporary_directory &) = delete;
    temporary_directory &operator=(const temporary_directory &) = delete;
    ~temporary_directory() { std::filesystem::remove_all(m_path); }

    std::filesystem::path path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace oriolehold::capacity
