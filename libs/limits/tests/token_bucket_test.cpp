#include <limits/token_bucket.h>

#include <algorithm>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

/// Tokens used by one request, counted at the time of its admission.
struct token_usage
{
    timestamp at;
    double tokens = 0;
};

/// Returns the largest excess over burst + rate * length of any window of @p usages.
double maxOvershoot(const std::vector<token_usage> &usages, token_limit limit)
{
    double maxExcess = 0;
    for (std::size_t first = 0; first < usages.size(); ++first) {
        double sum = 0;
        for (std::size_t last = first; last < usages.size(); ++last) {
            sum += usages[last].tokens;
            const double length = toSeconds(usages[last].at - usages[first].at);
            maxExcess = std::max(maxExcess, sum - limit.burst - limit.rate * length);
        }
    }
    return maxExcess;
}

const timestamp start {std::chrono::seconds(1000)};

timestamp at(double seconds) { return start + fromSeconds(seconds); }

} // namespace

TEST(TokenBucket, RefillsAtTheRateUpToTheBurst)
{
    token_bucket bucket({.rate = 100, .burst = 500}, start, 500);
    EXPECT_TRUE(bucket.reserve(at(0), 500).has_value());
    EXPECT_FALSE(bucket.reserve(at(0), 1).has_value());
    EXPECT_EQ(toMilliseconds(*bucket.timeUntilAvailable(at(0), 50)), 500);
    EXPECT_DOUBLE_EQ(bucket.level(at(2)), 200);
    EXPECT_DOUBLE_EQ(bucket.level(at(100)), 500);
    EXPECT_FALSE(bucket.timeUntilAvailable(at(100), 501).has_value());
}

TEST(TokenBucket, DoesNotRefillGrantedTokensUntilTheGrantExpires)
{
    token_bucket bucket({.rate = 100, .burst = 500}, start, 500);
    ASSERT_TRUE(bucket.grant(at(0), 200, at(2)).has_value());
    EXPECT_DOUBLE_EQ(bucket.level(at(1.9)), 300);
    EXPECT_DOUBLE_EQ(bucket.level(at(3)), 400);
    EXPECT_FALSE(bucket.grant(at(3), 251, at(5)).has_value()) << "more than half the burst";
}

TEST(TokenBucket, ReturnsUnusedTokensOnlyUpToTheCapacityInTheMeantime)
{
    token_bucket bucket({.rate = 100, .burst = 500}, start, 500);
    const std::uint64_t id = *bucket.reserve(at(0), 400);
    // Three seconds later the bucket holds 100 + 300 of 500, so only 100 of the 400 fit.
    bucket.settle(at(3), id, 400);
    EXPECT_DOUBLE_EQ(bucket.level(at(3)), 500);
    const std::uint64_t second = *bucket.reserve(at(3), 400);
    bucket.settle(at(10), second, 400); // the bucket has refilled, so no token fits
    EXPECT_DOUBLE_EQ(bucket.level(at(10)), 500);
}

TEST(TokenBucket, IgnoresRepeatedAndUnknownSettlements)
{
    token_bucket bucket({.rate = 100, .burst = 500}, start, 500);
    const std::uint64_t id = *bucket.reserve(at(0), 400);
    bucket.settle(at(0), id, 100);
    bucket.settle(at(0), id, 100);
    bucket.settle(at(0), 99, 100);
    EXPECT_DOUBLE_EQ(bucket.level(at(0)), 200);
}

/// Random reservations, grants spent late, partial returns and lost settlements must not let any
/// window of the used tokens exceed the limit.
TEST(TokenBucket, NoWindowExceedsTheLimitUnderRandomOperations)
{
    const token_limit limit {.rate = 1000, .burst = 5000};
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        const auto uniform = [&](double max) {
            return std::uniform_real_distribution<double>(0, max)(random);
        };
        struct taken_tokens
        {
            std::uint64_t id = 0;
            std::size_t usageIndex = 0;
            double amount = 0;
            double spendAt = 0;
            double settleAt = 0;
        };
        token_bucket bucket(limit, start, limit.burst);
        std::vector<token_usage> usages;
        std::vector<taken_tokens> open;
        double now = 0;
        for (int step = 0; step < 400; ++step) {
            now += uniform(0.1);
            for (std::size_t i = 0; i < open.size();) {
                if (open[i].settleAt > now) {
                    ++i;
                    continue;
                }
                const double used = uniform(open[i].amount);
                usages[open[i].usageIndex].tokens = used;
                bucket.settle(at(now), open[i].id, open[i].amount - used);
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(i));
            }
            const double amount = uniform(2000);
            const double lifetime = 0.2 + uniform(2);
            const bool remote = random() % 2 == 0;
            const std::optional<std::uint64_t> id = remote
                ? bucket.grant(at(now), amount, at(now + lifetime))
                : bucket.reserve(at(now), amount);
            if (!id)
                continue;
            const double spendAt = remote ? now + uniform(lifetime) : now;
            const bool lost = random() % 10 == 0;
            usages.push_back({.at = at(spendAt), .tokens = amount});
            open.push_back({.id = *id,
                            .usageIndex = usages.size() - 1,
                            .amount = amount,
                            .spendAt = spendAt,
                            .settleAt = lost ? 1e9 : spendAt + uniform(4)});
        }
        std::sort(usages.begin(), usages.end(),
                  [](const token_usage &a, const token_usage &b) { return a.at < b.at; });
        EXPECT_LE(maxOvershoot(usages, limit), 1e-6) << "seed " << seed;
    }
}

/// A new owner starts with an empty bucket and reserves the tokens that previous owners may have
/// granted. Without that, their grants and its own could together exceed the limit.
TEST(TokenBucket, NoWindowExceedsTheLimitAcrossOwnerChanges)
{
    const token_limit limit {.rate = 1000, .burst = 5000};
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        const auto uniform = [&](double max) {
            return std::uniform_real_distribution<double>(0, max)(random);
        };
        std::optional<token_bucket> bucket;
        bucket.emplace(limit, start, limit.burst);
        std::vector<token_usage> usages;
        double now = 0;
        double changedAt = -10;
        for (int step = 0; step < 600; ++step) {
            now += uniform(0.05);
            // Often changes the owner again before the grants of the first owner have expired.
            if (random() % 60 == 0 || (random() % 8 == 0 && now - changedAt < 1)) {
                bucket.emplace(limit, at(now), 0);
                bucket->reserveForPriorGrants(at(now), now - changedAt > 2, at(now + 2));
                changedAt = now;
            }
            const double amount = uniform(2500);
            const bool remote = random() % 2 == 0;
            const std::optional<std::uint64_t> id = remote
                ? bucket->grant(at(now), amount, at(now + 2))
                : bucket->reserve(at(now), amount);
            if (id)
                usages.push_back({.at = at(remote ? now + uniform(2) : now), .tokens = amount});
        }
        std::sort(usages.begin(), usages.end(),
                  [](const token_usage &a, const token_usage &b) { return a.at < b.at; });
        EXPECT_LE(maxOvershoot(usages, limit), 1e-6) << "seed " << seed;
    }
}

} // namespace trefoil
