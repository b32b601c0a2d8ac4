#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace trefoil {

/// Request outcomes of one version on one route. Counts never decrease.
struct outcome_counts
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    /// Requests whose first token arrived much later than expected.
    std::uint64_t slow = 0;

    bool operator==(const outcome_counts &) const = default;
};

/// Version that was found to be bad, and the route on which it failed or was slow.
struct bad_version_verdict
{
    std::string version;
    std::string route;
    /// "fails" or "slow".
    std::string reason;
};

/// Decides from request outcomes whether a version is worse than its predecessor, separately for
/// each route. A sequential test (CUSUM of log-likelihood ratios) detects faults that exist from
/// the start as well as faults that appear later. Not thread-safe.
class outcome_statistics
{
public:
    /// Counts the outcome of one request.
    void recordOutcome(std::string_view version, std::string_view route, bool failed, bool slow);
    /// Adds the outcomes that another instance counted since its last report.
    void add(std::string_view version, std::string_view route, const outcome_counts &counts);

    /// Returns whether @p candidate is worse than @p baseline on any route; if so, sets @p why.
    bool isBad(std::string_view candidate, std::string_view baseline,
               bad_version_verdict &why) const;
    /// Returns the sum of the outcomes of @p version over all routes.
    outcome_counts total(std::string_view version) const;
    /// Removes the outcomes of @p version, before a new rollout of a version with the same name.
    void forget(std::string_view version);

private:
    struct tally
    {
        outcome_counts counts;
        /// Cumulative sums of the log-likelihood ratios, never below 0.
        double failureSum = 0;
        double slowSum = 0;
    };
    using tally_key = std::pair<std::string, std::string>; // version, route

    double baselineShare(std::string_view version, std::string_view route,
                         std::uint64_t outcome_counts::*field) const;

    std::map<tally_key, tally> m_tallies;
};

} // namespace trefoil
