#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace oriolehold::daemon {

// Notices changes of a file by its time and size. A file that can't be read counts as unchanged
// until it is there again.
class file_watch
{
public:
    // An empty path never changes.
    explicit file_watch(const std::string &path);
    // Whether the file changed since the last call, or since the construction.
    bool changed();

private:
    struct file_state
    {
        std::filesystem::file_time_type writtenAt {};
        std::uintmax_t size = 0; // bytes

        bool operator==(const file_state &) const = default;
    };

    // Leaves state as it is and returns false when the file can't be read.
    bool readState(file_state &state) const;

    const std::string m_path;
    file_state m_lastState;
};

} // namespace oriolehold::daemon
