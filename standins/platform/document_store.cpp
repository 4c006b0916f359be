#include "document_store.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <system_error>

namespace standin {

bool document_store::watched_file::refresh()
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(path, error);
    const auto length = error ? 0 : std::filesystem::file_size(path, error);
    if (error) {
        const bool changed = written.has_value();
        written.reset();
        text.clear();
        return changed;
    }
    if (written == time && size == length)
        return false;
    std::ifstream stream(path, std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(stream), {});
    written = time;
    size = length;
    return true;
}

document_store::document_store(const std::filesystem::path &directory)
{
    m_configurationFile.path = directory / "configuration.json";
    m_oldFile.path = directory / "configuration.old.json";
    m_instancesFile.path = directory / "instances.json";
    m_modeFile.path = directory / "mode";
    refresh();
}

published_text document_store::publish(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false, true);
    if (!json.is_object() || !json.contains("generation")
        || !json["generation"].is_number_unsigned())
        return { text, std::nullopt };
    return { text, json["generation"].get<std::uint64_t>() };
}

void document_store::refresh()
{
    const std::lock_guard lock(m_mutex);
    bool changed = m_oldFile.refresh();
    if (m_modeFile.refresh()) {
        const std::string word = m_modeFile.text.substr(0, m_modeFile.text.find_first_of(" \r\n"));
        m_mode = word == "down"     ? fault_mode::down
                : word == "stale"   ? fault_mode::stale
                : word == "corrupt" ? fault_mode::corrupt
                : word == "back"    ? fault_mode::back
                                    : fault_mode::up;
        changed = true;
    }
    // In mode stale the files are left unread, so that their changes show when the mode ends.
    if (m_mode != fault_mode::stale || m_served.text.empty()) {
        changed = m_instancesFile.refresh() || changed;
        if (m_configurationFile.refresh()) {
            m_served = publish(m_configurationFile.text);
            changed = true;
        }
    }
    if (changed)
        m_changed.notify_all();
}

void document_store::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_changed.notify_all();
}

std::optional<read_answer> document_store::answerNow(std::uint64_t after) const
{
    switch (m_mode) {
    case fault_mode::down:
        return read_answer { 503, {} };
    case fault_mode::corrupt:
        return read_answer { 200, m_served.text.substr(0, m_served.text.size() / 2) };
    case fault_mode::back:
        return read_answer { 200, m_oldFile.text };
    case fault_mode::up:
    case fault_mode::stale:
        break;
    }
    if (m_served.text.empty())
        return read_answer { 503, {} };
    if (!m_served.generation || *m_served.generation > after)
        return read_answer { 200, m_served.text };
    return std::nullopt;
}

read_answer document_store::configuration(std::uint64_t after, std::chrono::seconds wait)
{
    std::unique_lock lock(m_mutex);
    ++m_reads;
    std::optional<read_answer> answer;
    m_changed.wait_for(lock, wait, [&] {
        answer = answerNow(after);
        return answer.has_value() || m_stopped;
    });
    return answer.value_or(read_answer { 304, {} });
}

read_answer document_store::instances()
{
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    if (m_mode == fault_mode::down || m_instancesFile.text.empty())
        return { 503, {} };
    return { 200, m_instancesFile.text };
}

std::uint64_t document_store::reads() const
{
    const std::lock_guard lock(m_mutex);
    return m_reads;
}

} // namespace standin
