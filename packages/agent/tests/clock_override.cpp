#include "clock_override.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

namespace {

std::atomic<std::time_t> offset { 0 }; // seconds

} // namespace

namespace oriolehold::agent::testing {

void advanceClock(std::chrono::seconds step)
{
    offset += step.count();
}

} // namespace oriolehold::agent::testing

// Replaces the C library's function in the whole process.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const long result = syscall(SYS_clock_gettime, clock, time);
    if (result == 0)
        time->tv_sec += offset.load();
    return static_cast<int>(result);
}
