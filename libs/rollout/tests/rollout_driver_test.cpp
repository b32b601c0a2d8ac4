#include "../benchmarks/rollout_world.h"

#include <gtest/gtest.h>

namespace trefoil {

TEST(RolloutDriver, EveryGoodVersionIsDoneInTime)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const run_result run = runRollout({}, seed);
        EXPECT_EQ(run.record.stage, rollout_stage::Done) << "seed " << seed;
        EXPECT_LE(run.doneAt, 60) << "seed " << seed;
        EXPECT_EQ(run.workersOnNew, 18u) << "seed " << seed;
        EXPECT_LE(run.mostLoads, 3) << "seed " << seed;
    }
}

TEST(RolloutDriver, AVersionBadAtOnceGetsAFiftiethOfTheTrafficAtMost)
{
    behaviour bad;
    bad.fails = [](double, int, double) { return 0.9; };
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const run_result run = runRollout(bad, seed);
        EXPECT_EQ(run.record.stage, rollout_stage::TakenBack) << "seed " << seed;
        EXPECT_LE(run.newShareOfTraffic, 0.02) << "seed " << seed;
        EXPECT_EQ(run.badAfterTakeBack, 0) << "seed " << seed;
        EXPECT_EQ(run.workersOnNew, 0u) << "seed " << seed;
        EXPECT_LE(run.mostLoads, 3) << "seed " << seed;
    }
}

TEST(RolloutDriver, AVersionBadLaterUnderLoadOrOnOneRouteIsTakenBack)
{
    std::map<std::string, behaviour> kinds;
    kinds["later"].fails = [](double, int, double seconds) { return seconds > 25 ? 0.5 : 0.002; };
    kinds["under load"].fails = [](double share, int, double) { return share > 0.2 ? 0.4 : 0.002; };
    kinds["one route"].fails = [](double, int route, double) { return route == 1 ? 0.8 : 0.002; };
    kinds["slow"].slow = [](double, int, double) { return 0.7; };
    for (auto it = kinds.begin(); it != kinds.end(); ++it) {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            const run_result run = runRollout(it->second, seed);
            EXPECT_EQ(run.record.stage, rollout_stage::TakenBack) << it->first << " " << seed;
            EXPECT_FALSE(run.record.reason.empty());
        }
    }
}

TEST(RolloutDriver, AGoodVersionWithSomeBadLuckIsNotTakenBack)
{
    behaviour unlucky;
    unlucky.fails = [](double, int, double) { return 0.005; };
    unlucky.slow = [](double, int, double) { return 0.05; };
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        EXPECT_EQ(runRollout(unlucky, seed).record.stage, rollout_stage::Done) << "seed " << seed;
}

TEST(RolloutDriver, ASuccessorGoesOnFromTheRecord)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const run_result run = runRollout({}, seed, 20);
        EXPECT_EQ(run.record.stage, rollout_stage::Done) << "seed " << seed;
        EXPECT_LE(run.doneAt, 60) << "seed " << seed;
    }
    const rollout_record record {
        .from = "v1", .to = "v2", .stage = rollout_stage::TakenBack, .share = 0, .reason = "fails"};
    EXPECT_EQ(rolloutRecordFromText(toText(record)), record);
    EXPECT_FALSE(rolloutRecordFromText("{\"stage\":\"other\"}").has_value());
}

} // namespace trefoil
