#pragma once

#include "oriolehold/core/types.h"

#include <span>
#include <string_view>

// Fuzz targets, one per decoder of untrusted bytes, for libFuzzer and for the replay of the
// committed corpus.

namespace oriolehold::fuzz {

struct fuzz_target
{
    std::string_view name; // also the folder below fuzz/corpus
    // Decodes the input and checks what was decoded; a violated property aborts the process.
    void (*run)(core::byte_view input);
};

std::span<const fuzz_target> fuzzTargets();

// Returns the target with this name, nullptr when there is none.
const fuzz_target *findTarget(std::string_view name);

} // namespace oriolehold::fuzz
