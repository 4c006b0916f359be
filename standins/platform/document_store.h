#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <mutex>
#include <optional>
#include <string>

namespace standin {

// A published text and its generation; no generation when the text is not a JSON document.
struct published_text
{
    std::string text;
    std::optional<std::uint64_t> generation;
};

// What a reader gets.
struct read_answer
{
    unsigned status = 200;
    std::string text;
};

// The files of the stand-in, read again when they change.
class document_store
{
public:
    explicit document_store(const std::filesystem::path &directory);

    // Reads files that changed and wakes the waiting readers. Call it often.
    void refresh();
    // Ends all waiting reads.
    void stop();

    // Waits at most the given time for a generation above after.
    read_answer configuration(std::uint64_t after, std::chrono::seconds wait);
    read_answer instances();
    std::uint64_t reads() const;

private:
    enum class fault_mode : std::uint8_t { up, down, stale, corrupt, back };

    // A file with the state that it was read in.
    struct watched_file
    {
        std::filesystem::path path;
        std::optional<std::filesystem::file_time_type> written;
        std::uintmax_t size = 0;
        std::string text;

        bool refresh();
    };

    static published_text publish(const std::string &text);
    std::optional<read_answer> answerNow(std::uint64_t after) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    watched_file m_configurationFile;
    watched_file m_oldFile;
    watched_file m_instancesFile;
    watched_file m_modeFile;
    fault_mode m_mode = fault_mode::up;
    published_text m_served; // what mode up and stale serve
    bool m_stopped = false;
    std::uint64_t m_reads = 0;
};

} // namespace standin
