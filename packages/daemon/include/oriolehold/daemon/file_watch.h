#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace oriolehold::daemon {

// Detects changes of a file by its modification time and size. An unreadable file counts as
// unchanged until it can be read again.
class file_watch
{
public:
    // An empty path never reports a change.
    explicit file_watch(const std::string &path);
    // Returns true when the file changed since the last call, or since construction.
    bool changed();

private:
    struct file_state
    {
        std::filesystem::file_time_type writtenAt {};
        std::uintmax_t size = 0; // bytes

        bool operator==(const file_state &) const = default;
    };

    // Returns false and leaves state unchanged when the file cannot be read.
    bool readState(file_state &state) const;

    const std::string m_path;
    file_state m_lastState;
};

} // namespace oriolehold::daemon
