#include "../benchmarks/rollout_simulation.h"

#include <gtest/gtest.h>

namespace trefoil {

TEST(RolloutController, CompletesTheRolloutOfAGoodVersionByTheDeadline)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const rollout_result run = simulateRollout({}, seed);
        EXPECT_EQ(run.record.stage, rollout_stage::Done) << "seed " << seed;
        EXPECT_LE(run.doneAt, 60) << "seed " << seed;
        EXPECT_EQ(run.serversOnNewVersion, 18u) << "seed " << seed;
        EXPECT_LE(run.maxParallelLoads, 3) << "seed " << seed;
    }
}

TEST(RolloutController, SendsAtMostTwoPercentOfTheTrafficToAVersionThatIsBadFromTheStart)
{
    version_behaviour bad;
    bad.failureProbability = [](double, int, double) { return 0.9; };
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const rollout_result run = simulateRollout(bad, seed);
        EXPECT_EQ(run.record.stage, rollout_stage::RolledBack) << "seed " << seed;
        EXPECT_LE(run.newShareOfTraffic, 0.02) << "seed " << seed;
        EXPECT_EQ(run.newVersionRequestsAfterRollback, 0) << "seed " << seed;
        EXPECT_EQ(run.serversOnNewVersion, 0u) << "seed " << seed;
        EXPECT_LE(run.maxParallelLoads, 3) << "seed " << seed;
    }
}

TEST(RolloutController, RollsBackAVersionThatIsBadLaterOrUnderLoadOrOnOneRouteOrSlow)
{
    std::map<std::string, version_behaviour> versions;
    versions["later"].failureProbability = [](double, int, double seconds) {
        return seconds > 25 ? 0.5 : 0.002;
    };
    versions["under load"].failureProbability = [](double share, int, double) {
        return share > 0.2 ? 0.4 : 0.002;
    };
    versions["one route"].failureProbability = [](double, int route, double) {
        return route == 1 ? 0.8 : 0.002;
    };
    versions["slow"].slowProbability = [](double, int, double) { return 0.7; };
    for (auto it = versions.begin(); it != versions.end(); ++it) {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            const rollout_result run = simulateRollout(it->second, seed);
            EXPECT_EQ(run.record.stage, rollout_stage::RolledBack) << it->first << " " << seed;
            EXPECT_FALSE(run.record.reason.empty());
        }
    }
}

TEST(RolloutController, DoesNotRollBackAGoodVersionWithFailuresAndSlowRequestsAtTheTolerableShares)
{
    version_behaviour tolerable;
    tolerable.failureProbability = [](double, int, double) { return 0.005; };
    tolerable.slowProbability = [](double, int, double) { return 0.05; };
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        EXPECT_EQ(simulateRollout(tolerable, seed).record.stage, rollout_stage::Done)
            << "seed " << seed;
}

TEST(RolloutController, ANewControllerContinuesFromTheRecord)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const rollout_result run = simulateRollout({}, seed, 20);
        EXPECT_EQ(run.record.stage, rollout_stage::Done) << "seed " << seed;
        EXPECT_LE(run.doneAt, 60) << "seed " << seed;
    }
    const rollout_record record {.from = "v1",
                                 .to = "v2",
                                 .stage = rollout_stage::RolledBack,
                                 .share = 0,
                                 .reason = "fails"};
    EXPECT_EQ(rolloutRecordFromText(toText(record)), record);
    EXPECT_FALSE(rolloutRecordFromText("{\"stage\":\"other\"}").has_value());
}

} // namespace trefoil
