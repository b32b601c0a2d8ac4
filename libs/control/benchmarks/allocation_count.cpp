#include "allocation_count.h"

#include <cstdlib>
#include <new>

namespace {

std::uint64_t allocations = 0;

} // namespace

// In a separate file: if these are inlined into callers, GCC 12 reports malloc and delete as
// mismatched.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept { std::free(memory); }

void operator delete(void *memory, std::size_t) noexcept { std::free(memory); }

namespace trefoil {

std::uint64_t allocationCount() { return allocations; }

} // namespace trefoil
