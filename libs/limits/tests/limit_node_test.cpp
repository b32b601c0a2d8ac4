#include "../benchmarks/limit_world.h"

#include <gtest/gtest.h>

namespace trefoil {

/// In every scenario and for every seed, no window of any team's admitted tokens may exceed its
/// limit, whatever way the right is kept.
TEST(LimitNode, NoScenarioOvershoots)
{
    for (const limit_scenario &scenario : limitScenarios()) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            limit_scenario shorter = scenario;
            shorter.seconds = std::min(shorter.seconds, 90.0);
            const limit_figures figures =
                limit_world(limit_way::Confirmations, shorter, seed).run();
            EXPECT_LE(figures.overshoot, 1e-6) << scenario.name << " seed " << seed;
            EXPECT_GT(figures.requests, 500u);
        }
    }
}

TEST(LimitNode, RefusesWithinRateAtMostOneInAThousandInCalm)
{
    const limit_scenario calm = limitScenarios().front();
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const limit_figures figures = limit_world(limit_way::Confirmations, calm, seed).run();
        EXPECT_LE(figures.refusedWithinRate, 0.001) << "seed " << seed;
    }
}

TEST(LimitNode, RefusesWithinRateAtMostOneInAHundredThroughACrashOrAnOutage)
{
    for (const limit_scenario &scenario : limitScenarios()) {
        if (scenario.name != "owner crashes" && scenario.name != "platform out for 10 minutes")
            continue;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const limit_figures figures =
                limit_world(limit_way::Confirmations, scenario, seed).run();
            EXPECT_LE(figures.refusedWithinRate, 0.01) << scenario.name << " seed " << seed;
        }
    }
}

} // namespace trefoil
