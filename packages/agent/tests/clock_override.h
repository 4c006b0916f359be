#pragma once

#include <chrono>

namespace oriolehold::agent::testing {

// Adds to all times that this process reads, libcoap's included, which offers no clock of its own
// to replace. Lets tests trigger libcoap's retransmission timers without waiting.
void advanceClock(std::chrono::seconds step);

} // namespace oriolehold::agent::testing
