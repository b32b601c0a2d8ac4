#include "routing_simulation.h"

#include <array>

#include <core/text_table.h>

using namespace trefoil;

/// Compares routing strategies in a simulation with a fixed seed.
int main(int argc, char **argv)
{
    struct named_strategy
    {
        routing_strategy strategy;
        const char *name;
    };
    constexpr std::array<named_strategy, 8> strategies {
        {{routing_strategy::Random, "random"},
         {routing_strategy::RoundRobin, "round robin"},
         {routing_strategy::LeastLoaded, "least loaded"},
         {routing_strategy::ConsistentHash, "consistent hashing"},
         {routing_strategy::PlacementWithoutCacheEstimate, "placement without cache estimate"},
         {routing_strategy::PlacementWithoutRendezvousPrior, "placement without rendezvous prior"},
         {routing_strategy::Placement, "placement"},
         {routing_strategy::Oracle, "oracle"}}};
    std::vector<text_table> tables;
    for (const routing_scenario &scenario : routingScenarios()) {
        text_table table(scenario.name,
                         {"strategy", "hit rate %", "first token p50 ms", "first token p99 ms",
                          "avoidable recomputation %", "requests"});
        for (const named_strategy &each : strategies) {
            const routing_results results = routing_simulation(each.strategy, scenario, 1).run();
            table.add({each.name, formatNumber(results.hitRate * 100, 1),
                       formatNumber(results.firstTokenP50 * 1000, 0),
                       formatNumber(results.firstTokenP99 * 1000, 0),
                       formatNumber(results.avoidableRecomputation * 100, 1),
                       std::to_string(results.requests)});
        }
        tables.push_back(table);
    }
    return writeTables(tables, argc, argv);
}
