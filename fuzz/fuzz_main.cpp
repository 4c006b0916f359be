#include "fuzz_targets.h"

// Entry point of libFuzzer. ORIOLEHOLD_FUZZ_TARGET is the name of the program's fuzz target.
// NOLINTNEXTLINE(readability-identifier-naming): name required by libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const oriolehold::fuzz::fuzz_target *const target =
            oriolehold::fuzz::findTarget(ORIOLEHOLD_FUZZ_TARGET);
    target->run({ data, size });
    return 0;
}
