#include "../benchmarks/routing_world.h"

#include <gtest/gtest.h>

namespace trefoil {

/// The goal of the measure: at least 95% of the hit rate of an oracle that knows every cache and
/// queue.
TEST(PlacementWorld, HitRateIsAtLeastNineteenTwentiethsOfTheOracles)
{
    for (const routing_scenario &scenario : routingScenarios()) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            const routing_figures own = routing_world(routing_way::Placement, scenario, seed).run();
            const routing_figures oracle = routing_world(routing_way::Oracle, scenario, seed).run();
            EXPECT_GE(own.hitRate, 0.95 * oracle.hitRate) << scenario.name << " seed " << seed;
        }
    }
}

/// The goal of the measure: at most 1.2 times the oracle's time to the first token for 99 in 100.
TEST(PlacementWorld, FirstTokenForNinetyNineInAHundredIsWithinSixFifthsOfTheOracles)
{
    for (const routing_scenario &scenario : routingScenarios()) {
        const routing_figures own = routing_world(routing_way::Placement, scenario, 1).run();
        const routing_figures oracle = routing_world(routing_way::Oracle, scenario, 1).run();
        EXPECT_LE(own.firstTokenP99, 1.2 * oracle.firstTokenP99) << scenario.name;
    }
}

/// Moving from queue to queue under overload makes more work than it saves: without a bound on it
/// the pool did not recover (mean waits of minutes at a load that the oracle serves in a second).
TEST(PlacementWorld, APoolRecoversFromAMomentOfOverload)
{
    routing_scenario scenario = routingScenarios().front();
    const routing_figures own = routing_world(routing_way::Placement, scenario, 1).run();
    EXPECT_LT(own.firstTokenP50, 1.0);
}

} // namespace trefoil
