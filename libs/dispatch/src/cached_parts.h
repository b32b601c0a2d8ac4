#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include <core/clock.h>
#include <core/digest.h>

namespace trefoil {

/// A part not used for longer is assumed to be evicted: engines drop least recently used parts.
constexpr duration cachedPartLifetime = std::chrono::seconds(12);

/// Time of last use of the parts assumed to be in a KV cache, by cachedPartKey().
using cached_parts = std::unordered_map<std::uint64_t, timestamp>;

/// Returns the key of @p part in the KV cache with the salt @p cacheSalt. Thread-safe.
inline std::uint64_t cachedPartKey(std::string_view cacheSalt, std::string_view part)
{
    return hash64(part, hash64(cacheSalt));
}

/// Returns whether @p key was used recently enough to be assumed cached at @p now. Thread-safe.
inline bool isLikelyCached(const cached_parts &parts, std::uint64_t key, timestamp now)
{
    const auto found = parts.find(key);
    return found != parts.end() && now - found->second < cachedPartLifetime;
}

} // namespace trefoil
