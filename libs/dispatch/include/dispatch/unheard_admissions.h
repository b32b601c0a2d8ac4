#pragma once

#include <deque>

#include <core/clock.h>

namespace trefoil {

/// What an instance knew of a team at a time.
struct team_knowledge
{
    /// Demand on this instance, and that on the others as they reported it, in units per second.
    double ownDemand = 0;
    double othersDemand = 0;
    /// Instances with demand, including this one.
    int requesters = 1;
    /// Units that all instances might still admit.
    double available = 0;
};

/// What one instance admitted of a team in the last seconds, and what it knew meanwhile. Not
/// thread-safe.
///
/// Handles a team whose demand jumps at all instances while reports between them are late: none
/// hears what the others admit, and each takes the whole remainder for its own.
class unheard_admissions
{
public:
    /// Longest time for which admissions are kept: instances that hear nothing of each other for
    /// longer count as silent.
    static constexpr duration maxTime = std::chrono::seconds(3);

    /// Records units that were admitted at @p at, or refunds them if @p units is negative. A refund
    /// of an admission that is no longer kept has no effect.
    void add(timestamp at, double units);
    /// Returns the units admitted at or after @p from, to the resolution of 50 ms.
    double since(timestamp from) const;

    /// Records what is known at @p now. Calls within 100 ms of the last recorded one have no
    /// effect.
    void keep(timestamp now, const team_knowledge &known);
    /// Returns what was known at @p at; the oldest that is kept, if that is newer.
    team_knowledge knownAt(timestamp at) const;

private:
    struct slot
    {
        timestamp startedAt;
        double units = 0;
    };
    struct record
    {
        timestamp at;
        team_knowledge known;
    };

    /// The oldest first.
    std::deque<slot> m_admitted;
    std::deque<record> m_known;
};

} // namespace trefoil
