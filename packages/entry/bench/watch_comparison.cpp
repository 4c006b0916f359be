#include "goal_document.h"
#include "slope_table.h"

#include "oriolehold/runtime/watch_schedule.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cmath>
#include <queue>

// Simulates all readers of the configuration in virtual time: every process runs a watch_schedule
// against one platform, which serves a limited number of reads per second.

namespace {

using namespace oriolehold;
using namespace oriolehold::capacity;
using namespace std::chrono_literals;
using runtime::read_outcome;
using runtime::read_source;
using runtime::watch_schedule;

constexpr core::time_point startTime { 1'800'000'000s };
constexpr core::duration oneWayDelay = 500us;
constexpr std::uint32_t platformReadsPerSecond = 2000;
constexpr core::duration platformServiceTime = core::duration { 1s } / platformReadsPerSecond;
constexpr core::duration peerResponseTime = 2ms;
constexpr std::size_t peersPerProcess = 8;
// Request and answer with their headers, without a document.
constexpr double bytesPerRead = 350.0;
constexpr double secondsPerDay = 86400.0;

struct process_state
{
    process_state(std::size_t peers, std::uint64_t seed, core::time_point start)
        : schedule(peers, seed, start)
    { }

    watch_schedule schedule;
    runtime::planned_read planned;
    core::time_point startedAt;
    std::uint64_t generation = 0;
    std::uint64_t read = 0;  // number of the current read; events of earlier reads are ignored
    bool inLongPoll = false; // at the platform
};

enum class event_kind : std::uint8_t { begin, serve, end };

struct event
{
    core::time_point at;
    std::uint64_t order;
    std::size_t process;
    std::uint64_t read;
    event_kind kind;
    read_outcome outcome = read_outcome::failed;
    std::uint64_t generation = 0;

    bool operator<(const event &other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

struct totals
{
    std::uint64_t platformReads = 0;
    std::uint64_t peerReads = 0;
    std::uint64_t failures = 0;
    std::uint64_t documents = 0;     // that the platform sent
    std::uint64_t peerDocuments = 0; // that peers sent
    std::vector<std::uint32_t> readsBySecond;
    std::vector<std::uint32_t> documentsBySecond;
};

class simulation
{
public:
    simulation(std::size_t processes, std::uint64_t seed) : m_random(seed), m_seed(seed)
    {
        m_processes.reserve(processes);
        for (std::size_t i = 0; i < processes; ++i) {
            m_processes.emplace_back(peerCount(processes), m_random.next(), m_now);
            plan(i);
        }
    }

    // Replaces all processes by new ones without a document.
    void restartAll()
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            const std::uint64_t read = m_processes[i].read + 1;
            m_processes[i] = process_state(peerCount(m_processes.size()), m_random.next(), m_now);
            m_processes[i].read = read;
            plan(i);
        }
    }

    void setReachable(bool reachable)
    {
        m_reachable = reachable;
        if (!reachable) {
            // Open long polls are not answered.
            for (process_state &item : m_processes)
                item.inLongPoll = false;
        }
    }

    void publish()
    {
        ++m_generation;
        for (std::size_t i = 0; m_reachable && i < m_processes.size(); ++i) {
            if (m_processes[i].inLongPoll)
                answer(i, m_now, read_outcome::changed);
        }
    }

    void runFor(core::duration time)
    {
        const core::time_point end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            handle(next);
        }
        m_now = end;
    }

    // Runs until the share of the processes has the published generation, at most for limit.
    // Returns the time in seconds.
    double runUntilUpToDate(double share, core::duration limit)
    {
        const core::time_point startedAt = m_now;
        while (shareUpToDate() < share && m_now - startedAt < limit)
            runFor(10ms);
        return std::chrono::duration<double>(m_now - startedAt).count();
    }

    // Share of the processes that have the published generation, 0 to 1.
    double shareUpToDate() const
    {
        const auto count =
                std::ranges::count(m_processes, m_generation, &process_state::generation);
        return static_cast<double>(count) / static_cast<double>(m_processes.size());
    }

    totals takeTotals()
    {
        m_totalsStartedAt = m_now;
        return std::exchange(m_totals, {});
    }

private:
    static std::size_t peerCount(std::size_t processes)
    {
        return std::min(peersPerProcess, processes - 1);
    }

    void schedule(core::time_point at, std::size_t process, event_kind kind,
                  read_outcome outcome = read_outcome::failed, std::uint64_t generation = 0)
    {
        m_events.push(
                { at, ++m_order, process, m_processes[process].read, kind, outcome, generation });
    }

    void plan(std::size_t process)
    {
        process_state &item = m_processes[process];
        item.planned = item.schedule.next();
        item.inLongPoll = false;
        ++item.read;
        schedule(std::max(m_now, item.planned.at), process, event_kind::begin);
    }

    void handle(const event &next)
    {
        process_state &item = m_processes[next.process];
        if (next.read != item.read)
            return;
        switch (next.kind) {
        case event_kind::begin:
            item.startedAt = m_now;
            schedule(m_now + item.planned.timeout, next.process, event_kind::end);
            if (item.planned.source == read_source::platform)
                beginPlatformRead(next.process);
            else
                beginPeerRead(next.process);
            break;
        case event_kind::serve:
            serve(next.process);
            break;
        case event_kind::end:
            finish(next);
            break;
        }
    }

    void beginPlatformRead(std::size_t process)
    {
        ++m_totals.platformReads;
        countSecond(m_totals.readsBySecond);
        if (!m_reachable)
            return;
        // The platform serves reads in order, including those whose reader has timed out.
        m_platformFreeAt = std::max(m_platformFreeAt, m_now + oneWayDelay) + platformServiceTime;
        schedule(m_platformFreeAt, process, event_kind::serve);
    }

    void serve(std::size_t process)
    {
        process_state &item = m_processes[process];
        if (!m_reachable)
            return;
        if (item.generation < m_generation) {
            answer(process, m_now, read_outcome::changed);
            return;
        }
        item.inLongPoll = true;
        answer(process, m_now + item.planned.wait, read_outcome::unchanged);
    }

    void answer(std::size_t process, core::time_point at, read_outcome outcome)
    {
        if (outcome == read_outcome::changed) {
            m_processes[process].inLongPoll = false;
            ++m_totals.documents;
            countSecond(m_totals.documentsBySecond);
        }
        schedule(at + oneWayDelay, process, event_kind::end, outcome, m_generation);
    }

    void beginPeerRead(std::size_t process)
    {
        ++m_totals.peerReads;
        // Each process has a fixed set of peers, chosen at random among all processes.
        core::seeded_random choice(m_seed + process * peersPerProcess
                                   + m_processes[process].planned.peer);
        const process_state &peer = m_processes[choice.below(m_processes.size())];
        const std::uint64_t own = m_processes[process].generation;
        if (peer.generation > 0)
            ++m_totals.peerDocuments;
        const read_outcome outcome = peer.generation == 0 ? read_outcome::failed
                : peer.generation > own                   ? read_outcome::changed
                                                          : read_outcome::unchanged;
        schedule(m_now + peerResponseTime, process, event_kind::end, outcome, peer.generation);
    }

    void finish(const event &next)
    {
        process_state &item = m_processes[next.process];
        // An unreachable platform does not answer long polls.
        if (!m_reachable && next.outcome == read_outcome::unchanged
            && item.planned.source == read_source::platform)
            return;
        const read_outcome outcome = next.outcome;
        if (outcome == read_outcome::changed) {
            item.generation = std::max(item.generation, next.generation);
            item.schedule.setReaderCount(m_processes.size());
        }
        m_totals.failures += outcome == read_outcome::failed ? 1 : 0;
        item.schedule.record(item.planned, outcome, item.startedAt, m_now);
        plan(next.process);
    }

    void countSecond(std::vector<std::uint32_t> &counts) const
    {
        const auto second = static_cast<std::size_t>((m_now - m_totalsStartedAt) / 1s);
        if (counts.size() <= second)
            counts.resize(second + 1);
        ++counts[second];
    }

    core::seeded_random m_random;
    std::uint64_t m_seed;
    std::vector<process_state> m_processes;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    core::time_point m_now = startTime;
    core::time_point m_totalsStartedAt = startTime;
    core::time_point m_platformFreeAt = startTime;
    bool m_reachable = true;
    std::uint64_t m_generation = 1;
    totals m_totals;
};

double secondsAbove(const std::vector<std::uint32_t> &counts, std::uint32_t limit)
{
    return static_cast<double>(
            std::ranges::count_if(counts, [limit](std::uint32_t count) { return count > limit; }));
}

std::uint32_t largest(const std::vector<std::uint32_t> &counts)
{
    return counts.empty() ? 0 : *std::ranges::max_element(counts);
}

double documentBytes(std::size_t processes)
{
    // One seventh of the processes are entry instances, the others agents, as at the goal size.
    const std::size_t entries = std::max<std::size_t>(1, processes * goalEntries / goalReaders);
    const std::size_t services = std::max<std::size_t>(1, processes * goalServices / goalReaders);
    const auto content = makeContent(processes - entries, services, entries);
    return static_cast<double>(renderCompact(content).size());
}

void steadyState(std::uint64_t seed)
{
    constexpr core::duration settle = 300s;
    constexpr double hours = 4.0;
    for (const double changesPerDay : { 0.0, 55.0, 550.0, 2200.0 }) {
        const std::string title = "Watch: steady state for 4 hours, "
                + std::to_string(static_cast<int>(changesPerDay)) + " changes a day";
        slope_table table(title, "processes",
                          { "reads/s", "most reads in a second", "failed reads", "document, KB",
                            "platform sends, KB/s", "each process receives, KB/s" });
        for (const std::size_t processes : { 10, 422, 1055, 2110, 4220 }) {
            simulation run(processes, seed);
            run.runFor(settle);
            run.takeTotals();
            const auto changes = static_cast<int>(changesPerDay * hours / 24.0);
            const core::duration length = std::chrono::hours { 4 };
            for (int i = 0; i < changes; ++i) {
                run.runFor(length / (changes + 1));
                run.publish();
            }
            run.runFor(length / (changes + 1));
            const totals sums = run.takeTotals();
            const double document = documentBytes(processes);
            const double seconds = hours * 3600.0;
            const auto reads = static_cast<double>(sums.platformReads);
            const double bytes =
                    reads * bytesPerRead + static_cast<double>(sums.documents) * document;
            table.add(static_cast<double>(processes),
                      std::array { reads / seconds,
                                   static_cast<double>(largest(sums.readsBySecond)),
                                   static_cast<double>(sums.failures), document / 1e3,
                                   bytes / seconds / 1e3,
                                   bytes / seconds / 1e3 / static_cast<double>(processes) });
        }
        table.print();
    }
}

struct convergence
{
    double allUpToDate = 0.0;  // seconds until all processes have the document
    double mostUpToDate = 0.0; // seconds until 99% of them have it
    totals sums;
};

convergence measure(simulation &run)
{
    constexpr core::duration limit = 600s;
    convergence result;
    result.mostUpToDate = run.runUntilUpToDate(0.99, limit);
    result.allUpToDate = result.mostUpToDate + run.runUntilUpToDate(1.0, limit);
    run.runFor(60s);
    result.sums = run.takeTotals();
    return result;
}

constexpr std::array<std::size_t, 5> processCounts { 10, 422, 1055, 2110, 4220 };

template<typename Prepare>
void measureConvergence(std::string_view title, std::uint64_t seed, Prepare &&prepare)
{
    slope_table table(title, "processes",
                      { "99% have it after, s", "all have it after, s", "most reads in a second",
                        "seconds above 2,000 reads", "failed reads", "peer reads",
                        "most documents in a second" });
    for (const std::size_t processes : processCounts) {
        simulation run(processes, seed);
        run.runFor(300s);
        prepare(run);
        const convergence result = measure(run);
        table.add(static_cast<double>(processes),
                  std::array { result.mostUpToDate, result.allUpToDate,
                               static_cast<double>(largest(result.sums.readsBySecond)),
                               secondsAbove(result.sums.readsBySecond, platformReadsPerSecond),
                               static_cast<double>(result.sums.failures),
                               static_cast<double>(result.sums.peerReads),
                               static_cast<double>(largest(result.sums.documentsBySecond)) });
    }
    table.print();
}

void outage(std::uint64_t seed)
{
    slope_table table("Watch: platform silent for an hour", "processes",
                      { "platform reads/s", "most reads in a second", "peer reads/s",
                        "documents from peers, KB/s per process" });
    for (const std::size_t processes : processCounts) {
        simulation run(processes, seed);
        run.runFor(300s);
        run.takeTotals();
        run.setReachable(false);
        run.runFor(std::chrono::hours { 1 });
        const totals sums = run.takeTotals();
        const double peerBytes = static_cast<double>(sums.peerDocuments) * documentBytes(processes);
        table.add(static_cast<double>(processes),
                  std::array { static_cast<double>(sums.platformReads) / 3600.0,
                               static_cast<double>(largest(sums.readsBySecond)),
                               static_cast<double>(sums.peerReads) / 3600.0,
                               peerBytes / 3600.0 / 1e3 / static_cast<double>(processes) });
    }
    table.print();
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Simulates the readers of the configuration in virtual time");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of all random numbers", false, 1,
                                        "number", command);
    command.parse(argc, argv);
    std::printf("Seed %llu. The platform serves 2,000 reads a second in order, one way takes "
                "0.5 ms, and each process knows %zu peers.\nTransfer times of the document are not "
                "simulated; a read counts %.0f bytes besides the document.\n",
                static_cast<unsigned long long>(seed.getValue()), peersPerProcess, bytesPerRead);
    const std::uint64_t base = seed.getValue();
    steadyState(base);
    measureConvergence("Watch: one change", base, [](simulation &run) {
        run.takeTotals();
        run.publish();
    });
    measureConvergence("Watch: two changes one second apart", base, [](simulation &run) {
        run.publish();
        run.runFor(1s);
        run.takeTotals();
        run.publish();
    });
    measureConvergence("Watch: platform back after an hour, with a new generation", base,
                       [](simulation &run) {
                           run.setReachable(false);
                           run.runFor(std::chrono::hours { 1 });
                           run.takeTotals();
                           run.setReachable(true);
                           run.publish();
                       });
    outage(base);
    measureConvergence("Watch: all processes restarted at once", base, [](simulation &run) {
        run.takeTotals();
        run.restartAll();
    });
    measureConvergence("Watch: all processes restarted at once, platform silent until 30 s later",
                       base, [](simulation &run) {
                           run.setReachable(false);
                           run.restartAll();
                           run.runFor(30s);
                           run.takeTotals();
                           run.setReachable(true);
                       });
    return 0;
}
