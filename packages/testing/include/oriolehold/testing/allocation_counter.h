#pragma once

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

// Counts the allocations of a benchmark by replacing the global operator new. Include it in exactly
// one source file of a program.

namespace {

std::atomic<std::uint64_t> allocations { 0 };

} // namespace

// Counts every allocation of the process. Inlined operators would make gcc warn about mismatched
// new and free.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}
