#pragma once

#include "oriolehold/core/configuration.h"
#include "oriolehold/runtime/configuration_acceptor.h"
#include "oriolehold/runtime/watch_schedule.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace oriolehold::runtime {

// Keeps the configuration up to date on a thread of its own. Reads it over HTTP from the platform
// and, while that is unreachable, from peers:
// GET /v1/configuration?after=<generation>&wait=<seconds>. Status 200 has a document, 304 means
// that there is no newer one; everything else is a failure. Thread-safe.
class configuration_watch
{
public:
    using apply_function = std::function<void(core::configuration_pointer)>;

    // peers are admin addresses of other processes. seed varies the read times between processes.
    // apply is called on the thread of the watch for each generation that takes effect.
    configuration_watch(core::endpoint platform, std::vector<core::endpoint> peers,
                        std::uint64_t seed, apply_function apply);
    ~configuration_watch();
    configuration_watch(const configuration_watch &) = delete;
    configuration_watch &operator=(const configuration_watch &) = delete;

    void start();
    // Also ends a read in progress; returns within a second.
    void stop();

    core::generation_number generation() const; // 0 before the first document
    std::string document() const;               // text of the document in effect, empty before it
    bool platformReachable() const { return m_reachable.load(); }
    std::uint64_t readCount() const { return m_readCount.load(); }         // reads started
    std::uint64_t rejectedCount() const { return m_rejectedCount.load(); } // documents not applied

private:
    void run();
    read_outcome read(const planned_read &planned);
    read_outcome accept(const std::string &text, const planned_read &planned);
    void reportReachability(const planned_read &planned, read_outcome outcome);
    void sleepUntil(core::time_point time);

    const core::endpoint m_platform;
    const std::vector<core::endpoint> m_peers;
    const std::uint64_t m_seed;
    const apply_function m_apply;
    std::thread m_thread;
    std::atomic<bool> m_stopped { true };
    std::atomic<bool> m_reachable { true };
    std::atomic<std::uint64_t> m_readCount { 0 };
    std::atomic<std::uint64_t> m_rejectedCount { 0 };
    mutable std::mutex m_mutex; // guards m_acceptor
    configuration_acceptor m_acceptor;
};

} // namespace oriolehold::runtime
