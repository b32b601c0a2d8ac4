#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <configuration/tables.h>
#include <gossip/membership.h>

namespace trefoil {

/// Input for ranking the instances that a caller of a team should use.
struct discovery_query
{
    std::string_view team;
    /// Identifies the caller: the callers of a large team are spread over its subset of instances.
    std::string_view caller;
    /// Name of the instance that owns the team's limit shard. Empty if unknown.
    std::string_view owner;
    /// Zone of the answering instance, assumed to be the caller's zone as well.
    std::string_view zone;
    /// Number of top-ranked instances over which the team's callers are spread.
    std::size_t subsetSize = 1;
};

/// Returns the instances for a caller in order of preference: the owner of the team's limit shard
/// first, because it admits requests without a grant, then the instances of the same zone, then the
/// others, each group by rendezvous weight. The first subsetSize instances are rotated by the
/// caller's hash. Suspect, dead and leaving members are excluded. Thread-safe.
std::vector<member> rankInstancesForCaller(std::span<const member> members,
                                           const discovery_query &query);

/// Returns the number of instances over which the callers of a team with token rate @p rate should
/// be spread, in proportion to its share of @p totalRate, the sum over all teams. The result lies
/// between one and half of @p instances. Thread-safe.
std::size_t discoverySubsetSize(double rate, double totalRate, std::size_t instances);

} // namespace trefoil
