#include "limiter_simulation.h"

#include <array>

#include <core/text_table.h>

using namespace trefoil;

/// Compares the strategies for enforcing limits in simulations with a fixed seed.
int main(int argc, char **argv)
{
    struct named_strategy
    {
        limit_strategy strategy;
        const char *name;
    };
    constexpr std::array<named_strategy, 3> strategies {
        {{limit_strategy::StaticSplit, "equal static split"},
         {limit_strategy::PlatformLease, "platform lease alone"},
         {limit_strategy::Confirmations, "owner, grants, confirmations"}}};
    std::vector<text_table> tables;
    for (const limit_scenario &scenario : limitScenarios()) {
        text_table table(scenario.name,
                         {"strategy", "overshoot tokens", "refused within rate %",
                          "worst-served team %", "messages/instance/s", "platform calls/s",
                          "requests"});
        for (const named_strategy &each : strategies) {
            const simulation_result outcome = limiter_simulation(each.strategy, scenario, 1).run();
            table.add({each.name, formatNumber(outcome.overshoot, 0),
                       formatNumber(outcome.refusedWithinRate * 100, 2),
                       formatNumber(outcome.worstServed * 100, 1),
                       formatNumber(outcome.messagesPerInstanceSecond, 1),
                       formatNumber(outcome.platformCallsPerSecond, 2),
                       std::to_string(outcome.requests)});
        }
        tables.push_back(table);
    }
    return writeTables(tables, argc, argv);
}
