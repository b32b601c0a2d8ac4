#include <rollout/outcome_statistics.h>

#include <random>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr const char *route = "r";

/// Outcomes of two versions that are served in turn.
struct outcome_simulation
{
    outcome_statistics outcomes;
    std::minstd_rand random;

    explicit outcome_simulation(unsigned seed) : random(seed) { }

    /// Counts @p count requests to @p version, of which a share of @p failing fails. Returns the
    /// number of failures until version v2 is found to be bad.
    int serve(const char *version, int count, double failing)
    {
        std::bernoulli_distribution fails(failing);
        int failures = 0;
        for (int i = 0; i < count && !isBad(); ++i) {
            const bool failed = fails(random);
            failures += failed ? 1 : 0;
            outcomes.recordOutcome(version, route, failed, false);
        }
        return failures;
    }

    bool isBad() const
    {
        bad_version_verdict why;
        return outcomes.isBad("v2", "v1", why);
    }
};

} // namespace

// A new version failed a third of its requests and was kept, since the previous one always fails
// one in seven.
TEST(OutcomeStatistics, VersionIsBadWhereThePreviousOneFailsToo)
{
    // The platform allows requests for 5 s after the 50th bad answer; here 11 requests come a
    // second.
    constexpr int maxBadAnswers = 50;
    constexpr int requestsAfterThem = 5 * 11;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        outcome_simulation simulation(seed);
        simulation.serve("v1", 1000, 0.14);
        const int failures = simulation.serve("v2", 300, 0.36);
        EXPECT_TRUE(simulation.isBad()) << seed;
        EXPECT_LE(failures, maxBadAnswers + requestsAfterThem * 0.36) << seed;
    }
}

// Failures of the previous version during a disturbance raised the bar long after it ended.
TEST(OutcomeStatistics, EarlierFailuresOfThePreviousVersionDoNotHideABadOne)
{
    outcome_simulation simulation(1);
    simulation.serve("v1", 400, 0.5);
    simulation.serve("v1", 400, 0.01);
    EXPECT_LE(simulation.serve("v2", 200, 0.3), 15);
    EXPECT_TRUE(simulation.isBad());
}

TEST(OutcomeStatistics, VersionThatTurnsBadAfterManyGoodAnswersIsFound)
{
    outcome_simulation simulation(1);
    simulation.serve("v1", 1000, 0.14);
    simulation.serve("v2", 600, 0.14);
    ASSERT_FALSE(simulation.isBad());
    EXPECT_LE(simulation.serve("v2", 300, 0.5), 50);
    EXPECT_TRUE(simulation.isBad());
}

TEST(OutcomeStatistics, VersionThatFailsAsOftenAsThePreviousOneIsKept)
{
    int bad = 0;
    for (unsigned seed = 1; seed <= 100; ++seed) {
        outcome_simulation simulation(seed);
        simulation.serve("v1", 600, 0.14);
        simulation.serve("v2", 600, 0.14);
        bad += simulation.isBad() ? 1 : 0;
    }
    EXPECT_LE(bad, 1);
}

} // namespace trefoil
