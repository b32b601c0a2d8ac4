#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Returns the weight of @p candidate for @p key. The candidate with the highest weight is the
/// first choice; when it goes, only its own keys move. Thread-safe.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// Returns indices into @p candidates, best first. The order depends only on the names, so every
/// instance that knows the same candidates computes the same order. Thread-safe.
std::vector<std::size_t> rendezvousOrder(std::string_view key,
                                         std::span<const std::string> candidates);

} // namespace trefoil
