#include "../benchmarks/limiter_simulation.h"

#include <gtest/gtest.h>

namespace trefoil {

/// In every scenario and with every seed, no window of a team's admitted tokens may exceed its
/// limit.
TEST(RateLimiter, NeverExceedsTheLimitInAnyScenario)
{
    for (const limit_scenario &scenario : limitScenarios()) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            limit_scenario shortened = scenario;
            shortened.seconds = std::min(shortened.seconds, 90.0);
            const simulation_result outcome =
                limiter_simulation(limit_strategy::Confirmations, shortened, seed).run();
            EXPECT_LE(outcome.overshoot, 1e-6) << scenario.name << " seed " << seed;
            EXPECT_GT(outcome.requests, 500u);
        }
    }
}

TEST(RateLimiter, RefusesAtMostOneInAThousandRequestsWithinRateWithoutFaults)
{
    const limit_scenario calm = limitScenarios().front();
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const simulation_result outcome =
            limiter_simulation(limit_strategy::Confirmations, calm, seed).run();
        EXPECT_LE(outcome.refusedWithinRate, 0.001) << "seed " << seed;
    }
}

TEST(RateLimiter, RefusesAtMostOneInAHundredRequestsWithinRateDuringACrashOrAnOutage)
{
    for (const limit_scenario &scenario : limitScenarios()) {
        if (scenario.name != "owner crashes" && scenario.name != "platform out for 10 minutes")
            continue;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const simulation_result outcome =
                limiter_simulation(limit_strategy::Confirmations, scenario, seed).run();
            EXPECT_LE(outcome.refusedWithinRate, 0.01) << scenario.name << " seed " << seed;
        }
    }
}

} // namespace trefoil
