#pragma once

#include <chrono>

namespace oriolehold::agent::testing {

// Advances every clock that this process reads. libcoap has no replaceable clock; this lets tests
// trigger its retransmission timers without waiting.
void advanceClock(std::chrono::seconds step);

} // namespace oriolehold::agent::testing
