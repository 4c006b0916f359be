#pragma once

#include <string_view>

// Runtime checks of invariants, also enabled in release builds.

namespace oriolehold::core {

// Called with the text of a violated invariant. The default handler prints it and aborts.
using invariant_handler = void (*)(std::string_view text, const char *file, int line);

// Replaces the handler and returns the previous one. A handler may throw; randomised runs do so to
// report the seed.
invariant_handler setInvariantHandler(invariant_handler handler);

void reportViolation(std::string_view text, const char *file, int line);

} // namespace oriolehold::core

// A macro, because it records the source location of the check.
#define ORIOLEHOLD_INVARIANT(condition, text)                                                      \
    do {                                                                                           \
        if (!(condition)) [[unlikely]]                                                             \
            ::oriolehold::core::reportViolation(text, __FILE__, __LINE__);                         \
    } while (false)
