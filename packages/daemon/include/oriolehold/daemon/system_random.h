#pragma once

#include <cstdint>

namespace oriolehold::daemon {

// A random number of the operating system, for boot numbers and seeds.
std::uint64_t systemRandomNumber();

} // namespace oriolehold::daemon
