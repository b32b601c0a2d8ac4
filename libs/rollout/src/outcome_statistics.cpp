#include <rollout/outcome_statistics.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace trefoil {

namespace {

/// Cumulative sum at which a version counts as bad. A good version reaches it about once in e^9
/// (8,000) tries.
constexpr double badVersionThreshold = 9;
/// Cumulative sum from which a version is suspect.
constexpr double suspectThreshold = badVersionThreshold / 2;

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
/// Requests in a group of the latest outcomes, and the number of groups that are kept.
constexpr std::uint64_t groupRequests = 10;
constexpr std::size_t maxGroups = 40;
/// Smallest ratio between the shares of a bad version and its predecessor.
constexpr double minShareRatio = 1.5;

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

/// Returns the log-likelihood of @p hits in @p requests at the share @p share.
double logLikelihood(double hits, double requests, double share)
{
    const double misses = requests - hits;
    return (hits > 0 ? hits * std::log(share) : 0)
        + (misses > 0 ? misses * std::log(1 - share) : 0);
}

} // namespace

outcome_counts &outcome_counts::operator+=(const outcome_counts &other)
{
    requests += other.requests;
    failures += other.failures;
    slow += other.slow;
    timed += other.timed;
    return *this;
}

/// A sequential test of one kind of outcome.
struct outcome_statistics::outcome_test
{
    std::uint64_t outcome_counts::*requests;
    std::uint64_t outcome_counts::*hits;
    double tally::*sum;
    test_shares shares;
    const char *reason;
};

const std::array<outcome_statistics::outcome_test, 2> outcome_statistics::outcomeTests {
    {{&outcome_counts::requests, &outcome_counts::failures, &tally::failureSum, failureShares,
      "fails"},
     {&outcome_counts::timed, &outcome_counts::slow, &tally::slowSum, slowShares, "slow"}}};

double outcome_statistics::shareOf(const outcome_counts &counts, const outcome_test &test)
{
    return static_cast<double>(counts.*test.hits)
        / static_cast<double>(std::max<std::uint64_t>(1, counts.*test.requests));
}

void outcome_statistics::recordOutcome(std::string_view version, std::string_view route,
                                       bool failed, bool slow)
{
    add(version, route,
        {.requests = 1,
         .failures = failed ? 1u : 0u,
         .slow = !failed && slow ? 1u : 0u,
         .timed = failed ? 0u : 1u});
}

void outcome_statistics::add(std::string_view version, std::string_view route,
                             const outcome_counts &counts)
{
    tally &item = m_tallies[{std::string(version), std::string(route)}];
    item.counts += counts;
    addLatest(item, counts);
    item.failureSum = updatedSum(item.failureSum, std::min(counts.failures, counts.requests),
                                 counts.requests, failureShares);
    item.slowSum =
        updatedSum(item.slowSum, std::min(counts.slow, counts.timed), counts.timed, slowShares);
}

void outcome_statistics::addLatest(tally &item, const outcome_counts &counts)
{
    const bool isFull = !item.latest.empty()
        && std::max(item.latest.back().requests, item.latest.back().timed) >= groupRequests;
    if (item.latest.empty() || isFull)
        item.latest.emplace_back();
    item.latest.back() += counts;
    if (item.latest.size() > maxGroups)
        item.latest.pop_front();
}

outcome_counts outcome_statistics::latestOf(const tally &item)
{
    outcome_counts sum;
    for (const outcome_counts &each : item.latest)
        sum += each;
    return sum;
}

outcome_counts outcome_statistics::baselineOf(std::string_view version, std::string_view route,
                                              const outcome_test &test) const
{
    const auto found = m_tallies.find({std::string(version), std::string(route)});
    if (found != m_tallies.end()) {
        const outcome_counts counts = latestOf(found->second);
        if (counts.*test.requests >= minBaselineRequests)
            return counts;
    }
    outcome_counts sum;
    for (auto it = m_tallies.begin(); it != m_tallies.end(); ++it) {
        if (it->first.first == version)
            sum += latestOf(it->second);
    }
    return sum;
}

double outcome_statistics::evidenceAgainst(const tally &item, const outcome_counts &baseline,
                                           const outcome_test &test)
{
    const double baselineRequests = static_cast<double>(baseline.*test.requests);
    const double baselineHits =
        static_cast<double>(std::min(baseline.*test.hits, baseline.*test.requests));
    const double baselineShare = shareOf(baseline, test);
    double largest = 0;
    outcome_counts sum;
    for (auto it = item.latest.rbegin(); it != item.latest.rend(); ++it) {
        sum += *it;
        const double requests = static_cast<double>(sum.*test.requests);
        const double hits = static_cast<double>(std::min(sum.*test.hits, sum.*test.requests));
        if (requests == 0 || hits <= minShareRatio * baselineShare * requests)
            continue;
        const double common = (hits + baselineHits) / (requests + baselineRequests);
        largest =
            std::max(largest,
                     logLikelihood(hits, requests, hits / requests)
                         + logLikelihood(baselineHits, baselineRequests, baselineShare)
                         - logLikelihood(hits + baselineHits, requests + baselineRequests, common));
    }
    return largest;
}

bool outcome_statistics::isWorse(const tally &item, std::string_view baseline,
                                 std::string_view route, const outcome_test &test,
                                 double threshold) const
{
    if (item.*test.sum < threshold)
        return false;
    const outcome_counts before = baselineOf(baseline, route, test);
    if (before.*test.requests < minBaselineRequests || shareOf(before, test) < test.shares.good)
        return true;
    return evidenceAgainst(item, before, test) >= threshold;
}

bool outcome_statistics::isBad(std::string_view candidate, std::string_view baseline,
                               bad_version_verdict &why) const
{
    for (auto it = m_tallies.begin(); it != m_tallies.end(); ++it) {
        if (it->first.first != candidate)
            continue;
        for (const outcome_test &test : outcomeTests) {
            if (!isWorse(it->second, baseline, it->first.second, test, badVersionThreshold))
                continue;
            why = {.version = std::string(candidate),
                   .route = it->first.second,
                   .reason = test.reason};
            return true;
        }
    }
    return false;
}

bool outcome_statistics::isSuspect(std::string_view candidate, std::string_view baseline) const
{
    return std::any_of(m_tallies.begin(), m_tallies.end(), [&](const auto &each) {
        return each.first.first == candidate
            && std::any_of(outcomeTests.begin(), outcomeTests.end(), [&](const outcome_test &test) {
                   return isWorse(each.second, baseline, each.first.second, test, suspectThreshold);
               });
    });
}

outcome_counts outcome_statistics::total(std::string_view version) const
{
    outcome_counts sum;
    for (auto it = m_tallies.begin(); it != m_tallies.end(); ++it) {
        if (it->first.first != version)
            continue;
        sum += it->second.counts;
    }
    return sum;
}

void outcome_statistics::forget(std::string_view version)
{
    std::erase_if(m_tallies, [&](const auto &each) { return each.first.first == version; });
}

} // namespace trefoil
