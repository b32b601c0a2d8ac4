#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <configuration/tables.h>
#include <gossip/membership.h>

namespace trefoil {

/// What the order of a team's entry instances depends on.
struct entry_question
{
    std::string_view team;
    /// Distinguishes the callers of a large team: they spread over its width.
    std::string_view caller;
    /// Owner of the team's limit shard; may be empty.
    std::string_view owner;
    /// Zone of the instance that answers, which callers near it share.
    std::string_view zone;
    /// Number of instances that the team's callers should spread over first.
    std::size_t width = 1;
};

/// Returns instances for a caller in order of preference: the owner of the team's limit first, so
/// that most admissions need no grant, then by rendezvous, near ones before others. Members that
/// are suspect or leaving are left out. Thread-safe.
std::vector<member> entryOrder(std::span<const member> members, const entry_question &question);

/// Returns over how many instances a team with @p rate should spread, when all teams together have
/// @p allRates and there are @p instances: one for a small team, at most half of them. Thread-safe.
std::size_t entryWidth(double rate, double allRates, std::size_t instances);

} // namespace trefoil
