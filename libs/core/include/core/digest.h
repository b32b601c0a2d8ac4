#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace trefoil {

/// 128-bit non-cryptographic digest (XXH3). Accidental collisions are negligible, but an adversary
/// can construct them, so it must not be the only key of anything worth attacking (callers' API
/// keys use SHA-256).
struct digest128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    auto operator<=>(const digest128 &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Returns the digest of @p bytes chained to @p seed. Barring collisions, equal results mean equal
/// seeds and equal bytes. Thread-safe; does not allocate.
digest128 digestOf(std::string_view bytes, digest128 seed = {});

/// Returns a 64-bit hash of @p bytes with @p seed. Stable across builds and machines, because
/// instances compare the results. Thread-safe.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Returns @p digest as 32 lower-case hexadecimal digits. Thread-safe.
std::string toHex(digest128 digest);

/// Parses the output of toHex() into @p digest. Returns false and leaves @p digest unchanged on any
/// other text. Thread-safe.
bool fromHex(std::string_view text, digest128 &digest);

} // namespace trefoil

/// Allows digests as keys of unordered containers. The digest's bits are already uniform.
template <>
struct std::hash<trefoil::digest128>
{
    std::size_t operator()(const trefoil::digest128 &digest) const noexcept
    {
        return static_cast<std::size_t>(digest.low);
    }
};
