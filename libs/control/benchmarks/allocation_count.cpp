#include "allocation_count.h"

#include <cstdlib>
#include <new>

namespace {

std::uint64_t count = 0;

} // namespace

// In a file of their own: inlined into callers, GCC 12 takes malloc and delete for a mismatch.
void *operator new(std::size_t size)
{
    ++count;
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept { std::free(memory); }

void operator delete(void *memory, std::size_t) noexcept { std::free(memory); }

namespace trefoil {

std::uint64_t allocationCount() { return count; }

} // namespace trefoil
