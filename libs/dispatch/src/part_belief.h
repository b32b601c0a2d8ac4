#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include <core/clock.h>
#include <core/digest.h>

namespace trefoil {

/// A part not used for this long is not relied on: engines drop the least recently used ones.
constexpr duration partLife = std::chrono::seconds(12);

/// Parts that are believed to be held, with their last use.
using part_belief = std::unordered_map<std::uint64_t, timestamp>;

/// Returns what identifies a part under the name by which engines share it. Thread-safe.
inline std::uint64_t partKey(std::string_view cacheName, std::string_view part)
{
    return hash64(part, hash64(cacheName));
}

/// Returns whether @p key was used lately enough to be relied on at @p now. Thread-safe.
inline bool isFresh(const part_belief &parts, std::uint64_t key, timestamp now)
{
    const auto found = parts.find(key);
    return found != parts.end() && now - found->second < partLife;
}

} // namespace trefoil
