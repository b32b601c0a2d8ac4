#include <rollout/outcome_statistics.h>

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Cumulative sum at which a version counts as bad. A good version reaches it about once in e^9
/// (8,000) tries.
constexpr double badVersionThreshold = 9;

/// Shares of failed or slow requests: at most `good` for a good version, at least `bad` for a bad
/// one.
struct test_shares
{
    double good = 0;
    double bad = 0;
};

constexpr test_shares failureShares {.good = 0.005, .bad = 0.06};
constexpr test_shares slowShares {.good = 0.05, .bad = 0.30};

/// Minimum number of requests to the previous version for its share to be compared.
constexpr std::uint64_t minBaselineRequests = 50;

/// Returns the log-likelihood ratio of one outcome between a bad and a good version.
double logLikelihoodRatio(bool hit, const test_shares &shares)
{
    return hit ? std::log(shares.bad / shares.good)
               : std::log((1 - shares.bad) / (1 - shares.good));
}

/// Returns the cumulative sum after @p requests more requests, @p hits of them failed or slow.
double updatedSum(double sum, std::uint64_t hits, std::uint64_t requests, const test_shares &shares)
{
    const double misses = static_cast<double>(requests - hits);
    const double change = static_cast<double>(hits) * logLikelihoodRatio(true, shares)
        + misses * logLikelihoodRatio(false, shares);
    return std::max(0.0, sum + change);
}

} // namespace

void outcome_statistics::recordOutcome(std::string_view version, std::string_view route,
                                       bool failed, bool slow)
{
    add(version, route,
        {.requests = 1, .failures = failed ? 1u : 0u, .slow = !failed && slow ? 1u : 0u});
}

void outcome_statistics::add(std::string_view version, std::string_view route,
                             const outcome_counts &counts)
{
    tally &item = m_tallies[{std::string(version), std::string(route)}];
    item.counts.requests += counts.requests;
    item.counts.failures += counts.failures;
    item.counts.slow += counts.slow;
    item.failureSum = updatedSum(item.failureSum, std::min(counts.failures, counts.requests),
                                 counts.requests, failureShares);
    item.slowSum = updatedSum(item.slowSum, std::min(counts.slow, counts.requests), counts.requests,
                              slowShares);
}

double outcome_statistics::baselineShare(std::string_view version, std::string_view route,
                                         std::uint64_t outcome_counts::*field) const
{
    const auto found = m_tallies.find({std::string(version), std::string(route)});
    if (found == m_tallies.end() || found->second.counts.requests < minBaselineRequests)
        return 0;
    const outcome_counts &counts = found->second.counts;
    return static_cast<double>(counts.*field) / static_cast<double>(counts.requests);
}

bool outcome_statistics::isBad(std::string_view candidate, std::string_view baseline,
                               bad_version_verdict &why) const
{
    const auto isWorse = [&](const tally &item, std::string_view route,
                             std::uint64_t outcome_counts::*field, const test_shares &shares) {
        // If the previous version is about as bad on this route, the new version is not the cause.
        const double baselineValue = baselineShare(baseline, route, field);
        const double candidateValue = static_cast<double>(item.counts.*field)
            / static_cast<double>(std::max<std::uint64_t>(1, item.counts.requests));
        return baselineValue < shares.good || candidateValue > 3 * baselineValue;
    };
    for (auto it = m_tallies.begin(); it != m_tallies.end(); ++it) {
        if (it->first.first != candidate)
            continue;
        const tally &item = it->second;
        const std::string &route = it->first.second;
        const bool failing = item.failureSum >= badVersionThreshold
            && isWorse(item, route, &outcome_counts::failures, failureShares);
        const bool slow = item.slowSum >= badVersionThreshold
            && isWorse(item, route, &outcome_counts::slow, slowShares);
        if (!failing && !slow)
            continue;
        why = {.version = std::string(candidate),
               .route = route,
               .reason = failing ? "fails" : "slow"};
        return true;
    }
    return false;
}

outcome_counts outcome_statistics::total(std::string_view version) const
{
    outcome_counts sum;
    for (auto it = m_tallies.begin(); it != m_tallies.end(); ++it) {
        if (it->first.first != version)
            continue;
        sum.requests += it->second.counts.requests;
        sum.failures += it->second.counts.failures;
        sum.slow += it->second.counts.slow;
    }
    return sum;
}

void outcome_statistics::forget(std::string_view version)
{
    std::erase_if(m_tallies, [&](const auto &each) { return each.first.first == version; });
}

} // namespace trefoil
