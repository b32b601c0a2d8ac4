#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace trefoil {

/// Outcomes of requests of one version on one route. Counts only grow.
struct outcome_counts
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    /// Requests whose first token came much later than expected.
    std::uint64_t slow = 0;

    bool operator==(const outcome_counts &) const = default;
};

/// A version and route found to be bad.
struct evidence_verdict
{
    std::string version;
    std::string route;
    /// "fails" or "slow".
    std::string reason;
};

/// Decides from outcomes whether a version is worse than the one before it, for each route by
/// itself. A sequential test (cumulative sums of likelihood ratios) finds a fault that is there at
/// once as well as one that comes later. Not thread-safe.
class evidence
{
public:
    /// Counts one request's outcome.
    void note(std::string_view version, std::string_view route, bool failed, bool slow);
    /// Adds the outcomes that another instance counted since its last report.
    void add(std::string_view version, std::string_view route, const outcome_counts &counts);

    /// Returns whether @p candidate is bad on any route when compared with @p baseline.
    bool isBad(std::string_view candidate, std::string_view baseline, evidence_verdict &why) const;
    /// Returns the outcomes counted of @p version on all routes.
    outcome_counts total(std::string_view version) const;
    /// Forgets @p version, for a new rollout of the same name.
    void forget(std::string_view version);

private:
    struct tally
    {
        outcome_counts counts;
        /// Cumulative sums, kept at or above 0.
        double failureSum = 0;
        double slowSum = 0;
    };
    using tally_key = std::pair<std::string, std::string>; // version, route

    double baselineShare(std::string_view version, std::string_view route,
                         std::uint64_t outcome_counts::*field) const;

    std::map<tally_key, tally> m_tallies;
};

} // namespace trefoil
