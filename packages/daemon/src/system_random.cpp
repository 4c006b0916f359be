#include "oriolehold/daemon/system_random.h"

#include <random>

namespace oriolehold::daemon {

std::uint64_t systemRandomNumber()
{
    std::random_device device;
    return std::uint64_t { device() } << 32 | device();
}

} // namespace oriolehold::daemon
