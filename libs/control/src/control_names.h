#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Gossip topics of the rumors that control nodes publish.
namespace topics {
inline constexpr const char *config = "config";
inline constexpr const char *lease = "lease";
inline constexpr const char *rollout = "rollout";
inline constexpr const char *crash = "crash";
inline constexpr const char *evidence = "evidence";
inline constexpr const char *activeVersions = "inforce";
} // namespace topics

/// Returns the keys of all leases: limit shards and rollouts. Thread-safe.
std::vector<std::string> allLeaseKeys(int limitShards);

/// Parses exactly as many comma-separated unsigned integers as @p numbers holds. Returns false if
/// @p text has another form. Thread-safe.
bool parseIntegers(std::string_view text, std::span<std::uint64_t> numbers);

} // namespace trefoil
