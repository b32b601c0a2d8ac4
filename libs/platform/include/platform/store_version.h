#pragma once

#include <cstdint>

namespace trefoil {

/// Versions of a store that may be restored from a copy. A restored store gives out revisions again
/// that it gave out before, but its era rises. A version has the era above the revision, so that
/// versions only rise, and those of different eras are never equal. All functions are thread-safe.
namespace store_version {

/// Bits of the revision: two years of a million writes a second. The era has the rest.
inline constexpr unsigned revisionBits = 46;

/// Returns the version of @p revision in @p era. Precondition: both fit their bits.
constexpr std::uint64_t of(std::uint64_t era, std::uint64_t revision)
{
    return era << revisionBits | revision;
}
/// Returns the era of @p version; 0 if the store tells none.
constexpr std::uint64_t era(std::uint64_t version) { return version >> revisionBits; }
/// Returns the revision by which the store knows @p version.
constexpr std::uint64_t revision(std::uint64_t version)
{
    return version & ((std::uint64_t {1} << revisionBits) - 1);
}

} // namespace store_version

} // namespace trefoil
