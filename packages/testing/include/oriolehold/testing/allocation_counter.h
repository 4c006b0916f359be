#pragma once

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

// Counts the allocations of a benchmark. Replaces the global new, so one file of a program includes
// it.

namespace {

std::atomic<std::uint64_t> allocations { 0 };

} // namespace

// Counts every allocation of the process. Not inlined, because gcc then warns about a mismatch of
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
