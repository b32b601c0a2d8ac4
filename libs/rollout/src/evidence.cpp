#include <rollout/evidence.h>

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Sum at which a version counts as bad: a good version reaches it about once in e^9 (8,000) tries.
constexpr double badSum = 9;

/// Shares of failed and slow requests that a good version may have, and that a bad one has at
/// least.
struct test_shares
{
    double good = 0;
    double bad = 0;
};

constexpr test_shares failureShares {.good = 0.005, .bad = 0.06};
constexpr test_shares slowShares {.good = 0.05, .bad = 0.30};

/// Outcomes of the version before that are needed for its share to count.
constexpr std::uint64_t leastBaseline = 50;

double ratioOf(bool hit, const test_shares &shares)
{
    return hit ? std::log(shares.bad / shares.good)
               : std::log((1 - shares.bad) / (1 - shares.good));
}

double advanced(double sum, std::uint64_t hits, std::uint64_t requests, const test_shares &shares)
{
    const double misses = static_cast<double>(requests - hits);
    const double change =
        static_cast<double>(hits) * ratioOf(true, shares) + misses * ratioOf(false, shares);
    return std::max(0.0, sum + change);
}

} // namespace

void evidence::note(std::string_view version, std::string_view route, bool failed, bool slow)
{
    add(version, route,
        {.requests = 1, .failures = failed ? 1u : 0u, .slow = !failed && slow ? 1u : 0u});
}

void evidence::add(std::string_view version, std::string_view route, const outcome_counts &counts)
{
    tally &item = m_tallies[{std::string(version), std::string(route)}];
    item.counts.requests += counts.requests;
    item.counts.failures += counts.failures;
    item.counts.slow += counts.slow;
    item.failureSum = advanced(item.failureSum, std::min(counts.failures, counts.requests),
                               counts.requests, failureShares);
    item.slowSum =
        advanced(item.slowSum, std::min(counts.slow, counts.requests), counts.requests, slowShares);
}

double evidence::baselineShare(std::string_view version, std::string_view route,
                               std::uint64_t outcome_counts::*field) const
{
    const auto found = m_tallies.find({std::string(version), std::string(route)});
    if (found == m_tallies.end() || found->second.counts.requests < leastBaseline)
        return 0;
    const outcome_counts &counts = found->second.counts;
    return static_cast<double>(counts.*field) / static_cast<double>(counts.requests);
}

bool evidence::isBad(std::string_view candidate, std::string_view baseline,
                     evidence_verdict &why) const
{
    const auto worse = [&](const tally &item, std::string_view route,
                           std::uint64_t outcome_counts::*field, const test_shares &shares) {
        // Where the version before fails as much, the fault is elsewhere.
        const double before = baselineShare(baseline, route, field);
        const double now = static_cast<double>(item.counts.*field)
            / static_cast<double>(std::max<std::uint64_t>(1, item.counts.requests));
        return before < shares.good || now > 3 * before;
    };
    for (auto it = m_tallies.begin(); it != m_tallies.end(); ++it) {
        if (it->first.first != candidate)
            continue;
        const tally &item = it->second;
        const std::string &route = it->first.second;
        const bool fails = item.failureSum >= badSum
            && worse(item, route, &outcome_counts::failures, failureShares);
        const bool slow =
            item.slowSum >= badSum && worse(item, route, &outcome_counts::slow, slowShares);
        if (!fails && !slow)
            continue;
        why = {
            .version = std::string(candidate), .route = route, .reason = fails ? "fails" : "slow"};
        return true;
    }
    return false;
}

outcome_counts evidence::total(std::string_view version) const
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

void evidence::forget(std::string_view version)
{
    std::erase_if(m_tallies, [&](const auto &each) { return each.first.first == version; });
}

} // namespace trefoil
