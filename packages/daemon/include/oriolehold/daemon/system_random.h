#pragma once

#include <cstdint>

namespace oriolehold::daemon {

// Returns a random number from the operating system, for boot ids and seeds.
std::uint64_t systemRandomNumber();

} // namespace oriolehold::daemon
