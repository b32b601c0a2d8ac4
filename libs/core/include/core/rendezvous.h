#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Returns the weight of @p candidate for @p key in rendezvous (highest random weight) hashing. The
/// candidate with the highest weight is preferred; removing a candidate reassigns only the keys
/// that preferred it. Thread-safe.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// Returns indices into @p candidates by descending weight. The order depends only on the key and
/// the names, so every instance with the same candidates computes the same order. Thread-safe.
std::vector<std::size_t> rendezvousOrder(std::string_view key,
                                         std::span<const std::string> candidates);

} // namespace trefoil
