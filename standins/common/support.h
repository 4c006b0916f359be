#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

// Helpers shared by the stand-in programs.

namespace oriolehold::standins {

// Returns the microseconds since the Unix epoch. The records of all stand-ins use this clock, so
// that they can be compared.
inline std::int64_t unixMicroseconds()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

// Parses "a.b.c.d:port". Throws std::runtime_error when the text is malformed.
inline sockaddr_in parseAddress(const std::string &text)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    const auto colon = text.rfind(':');
    unsigned long port = 0;
    if (colon != std::string::npos)
        port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    if (port == 0 || port > 65535
        || inet_pton(AF_INET, text.substr(0, colon).c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("malformed address: " + text);
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    return result;
}

// Raises the soft limit on open files to the hard limit.
inline void raiseFileLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

// Appends JSON values to a file, one per line. Each line is flushed immediately, so that no record
// is lost when the process is killed. With an empty path, nothing is written.
class record_file
{
public:
    explicit record_file(const std::string &path)
    {
        if (path.empty())
            return;
        m_stream.open(path, std::ios::app);
        if (!m_stream)
            throw std::runtime_error("cannot open " + path);
    }

    void append(const nlohmann::json &value)
    {
        if (m_stream.is_open())
            m_stream << value.dump() + "\n" << std::flush;
    }

private:
    std::ofstream m_stream;
};

// Returns the content of a large body. It is derived from the request's id, so that a caller
// detects a body that belongs to another request or has missing parts.
inline std::string largeBody(std::string_view id, std::size_t size)
{
    std::uint64_t state = 1469598103934665603U; // the FNV-1a hash of the id is the seed
    for (const char character : id)
        state = (state ^ static_cast<std::uint8_t>(character)) * 1099511628211U;
    std::string body(size, '\0');
    for (char &character : body) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        character = static_cast<char>('a' + (state >> 33) % 26);
    }
    return body;
}

} // namespace oriolehold::standins
