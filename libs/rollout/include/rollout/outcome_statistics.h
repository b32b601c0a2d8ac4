#pragma once

#include <array>
#include <cstdint>
#include <deque>
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
    /// Requests that took much longer than expected, also those that were given up unanswered.
    std::uint64_t slow = 0;
    /// Requests of which it is known whether they were slow.
    std::uint64_t timed = 0;

    outcome_counts &operator+=(const outcome_counts &other);
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
/// the start as well as faults that appear later. Where the predecessor also fails requests, the
/// latest outcomes of both are compared by a likelihood ratio, over the span that speaks most
/// against the new version. Not thread-safe.
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
    /// Returns whether the outcomes of @p candidate on any route are on the way to those of a
    /// version that is worse than @p baseline, so that it must not replace it yet.
    bool isSuspect(std::string_view candidate, std::string_view baseline) const;
    /// Returns the sum of the outcomes of @p version over all routes.
    outcome_counts total(std::string_view version) const;
    /// Removes the outcomes of @p version, before a new rollout of a version with the same name.
    void forget(std::string_view version);

private:
    struct tally
    {
        outcome_counts counts;
        /// The latest outcomes in groups of consecutive requests, the newest last.
        std::deque<outcome_counts> latest;
        /// Cumulative sums of the log-likelihood ratios, never below 0.
        double failureSum = 0;
        double slowSum = 0;
    };
    using tally_key = std::pair<std::string, std::string>; // version, route

    struct outcome_test;
    static const std::array<outcome_test, 2> outcomeTests;

    static double shareOf(const outcome_counts &counts, const outcome_test &test);
    static void addLatest(tally &item, const outcome_counts &counts);
    static outcome_counts latestOf(const tally &item);
    /// Returns the latest outcomes of @p version on @p route, or on all routes if there are few.
    outcome_counts baselineOf(std::string_view version, std::string_view route,
                              const outcome_test &test) const;
    /// Returns the largest log-likelihood ratio between different shares of hits and a common one,
    /// over the latest outcomes of @p item back to any group.
    static double evidenceAgainst(const tally &item, const outcome_counts &baseline,
                                  const outcome_test &test);
    bool isWorse(const tally &item, std::string_view baseline, std::string_view route,
                 const outcome_test &test, double threshold) const;

    std::map<tally_key, tally> m_tallies;
};

} // namespace trefoil
