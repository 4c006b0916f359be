#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace standin {

// HTTP response to a read.
struct read_response
{
    unsigned status = 200;
    std::string text;
};

// File contents that are reloaded when the modification time changes. A missing file reads as
// empty.
class watched_file
{
public:
    explicit watched_file(std::filesystem::path path) : m_path(std::move(path)) { }

    const std::string &text() const { return m_text; }
    // Returns whether the file was reloaded or has been removed since the last call.
    bool refresh()
    {
        std::error_code error;
        const auto writeTime = std::filesystem::last_write_time(m_path, error);
        if (error) {
            m_lastWriteTime.reset();
            return !std::exchange(m_text, {}).empty();
        }
        if (m_lastWriteTime == writeTime)
            return false;
        std::ifstream stream(m_path, std::ios::binary);
        m_text.assign(std::istreambuf_iterator<char>(stream), {});
        m_lastWriteTime = writeTime;
        return true;
    }

private:
    std::filesystem::path m_path;
    std::optional<std::filesystem::file_time_type> m_lastWriteTime;
    std::string m_text;
};

// Documents that standin-platform serves from a directory, and its fault mode (file "mode"): down
// (all reads fail), corrupt (half a document), back (the old document) or stale (no updates).
class document_store
{
public:
    explicit document_store(const std::filesystem::path &directory)
        : m_configuration(directory / "configuration.json"),
          m_oldConfiguration(directory / "configuration.old.json"),
          m_instances(directory / "instances.json"), m_mode(directory / "mode")
    {
        refresh();
    }

    // Reloads changed files and wakes waiting reads. Must be called periodically.
    void refresh()
    {
        const std::lock_guard lock(m_mutex);
        bool changed = m_oldConfiguration.refresh();
        changed = m_mode.refresh() || changed;
        // In stale mode the files aren't reloaded, so that changes take effect when the mode ends.
        if (!isMode("stale") || m_configuration.text().empty()) {
            changed = m_instances.refresh() || changed;
            if (m_configuration.refresh()) {
                m_generation = parseGeneration(m_configuration.text());
                changed = true;
            }
        }
        if (changed)
            m_changed.notify_all();
    }

    // Ends all waiting reads; they return status 304 if there is no newer document.
    void stop()
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        m_changed.notify_all();
    }

    // Waits at most the given time for a generation above `after`; returns status 304 on timeout.
    read_response configuration(std::uint64_t after, std::chrono::seconds wait)
    {
        std::unique_lock lock(m_mutex);
        ++m_reads;
        std::optional<read_response> response;
        m_changed.wait_for(lock, wait, [&] {
            response = availableResponse(after);
            return response.has_value() || m_stopped;
        });
        return response.value_or(read_response { 304, {} });
    }

    read_response instances()
    {
        const std::lock_guard lock(m_mutex);
        ++m_reads;
        if (isMode("down") || m_instances.text().empty())
            return { 503, {} };
        return { 200, m_instances.text() };
    }

    // Number of reads received so far.
    std::uint64_t reads() const
    {
        const std::lock_guard lock(m_mutex);
        return m_reads;
    }

private:
    bool isMode(std::string_view name) const { return m_mode.text().starts_with(name); }

    // Returns std::nullopt if the text is not a JSON object with a generation; such a text is
    // served to every read.
    static std::optional<std::uint64_t> parseGeneration(const std::string &text)
    {
        const auto json = nlohmann::json::parse(text, nullptr, false, true);
        if (!json.is_object() || !json.contains("generation")
            || !json["generation"].is_number_unsigned())
            return std::nullopt;
        return json["generation"].get<std::uint64_t>();
    }

    // Returns std::nullopt if the read has to wait for a newer generation.
    std::optional<read_response> availableResponse(std::uint64_t after) const
    {
        const std::string &text = m_configuration.text();
        if (isMode("down") || text.empty())
            return read_response { 503, {} };
        if (isMode("corrupt"))
            return read_response { 200, text.substr(0, text.size() / 2) };
        if (isMode("back"))
            return read_response { 200, m_oldConfiguration.text() };
        if (!m_generation || *m_generation > after)
            return read_response { 200, text };
        return std::nullopt;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    watched_file m_configuration;
    watched_file m_oldConfiguration;
    watched_file m_instances;
    watched_file m_mode;
    std::optional<std::uint64_t> m_generation;
    bool m_stopped = false;
    std::uint64_t m_reads = 0;
};

} // namespace standin
