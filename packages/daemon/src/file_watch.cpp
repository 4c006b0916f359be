#include "oriolehold/daemon/file_watch.h"

#include <utility>

namespace oriolehold::daemon {

file_watch::file_watch(const std::string &path) : m_path(path)
{
    look(m_known);
}

bool file_watch::look(file_state &state) const
{
    if (m_path.empty())
        return false;
    std::error_code unreadable;
    const file_state present { std::filesystem::last_write_time(m_path, unreadable),
                               std::filesystem::file_size(m_path, unreadable) };
    if (unreadable)
        return false;
    state = present;
    return true;
}

bool file_watch::changed()
{
    file_state present;
    return look(present) && std::exchange(m_known, present) != present;
}

} // namespace oriolehold::daemon
