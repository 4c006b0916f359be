#include "oriolehold/daemon/file_watch.h"

#include <utility>

namespace oriolehold::daemon {

file_watch::file_watch(const std::string &path) : m_path(path)
{
    readState(m_lastState);
}

bool file_watch::readState(file_state &state) const
{
    if (m_path.empty())
        return false;
    std::error_code unreadable;
    const file_state current { std::filesystem::last_write_time(m_path, unreadable),
                               std::filesystem::file_size(m_path, unreadable) };
    if (unreadable)
        return false;
    state = current;
    return true;
}

bool file_watch::changed()
{
    file_state current;
    return readState(current) && std::exchange(m_lastState, current) != current;
}

} // namespace oriolehold::daemon
