#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Topics of the rumors that control nodes spread.
namespace topics {
inline constexpr const char *config = "config";
inline constexpr const char *lease = "lease";
inline constexpr const char *rollout = "rollout";
inline constexpr const char *crash = "crash";
inline constexpr const char *evidence = "evidence";
inline constexpr const char *inForce = "inforce";
} // namespace topics

/// Returns the keys of all rights: limit shards and rollouts. Thread-safe.
std::vector<std::string> allRights(int limitShards);

/// Parses whole numbers separated by commas, as many as @p numbers holds. Returns false on anything
/// else. Thread-safe.
bool parseNumbers(std::string_view text, std::span<std::uint64_t> numbers);

} // namespace trefoil
