#include "routing_world.h"

#include <array>

#include <core/text_table.h>

using namespace trefoil;

/// Compares ways to place requests, from one fixed seed, in virtual time.
int main(int argc, char **argv)
{
    struct named_way
    {
        routing_way way;
        const char *name;
    };
    constexpr std::array<named_way, 8> ways {
        {{routing_way::Random, "random"},
         {routing_way::RoundRobin, "round robin"},
         {routing_way::LeastLoaded, "least loaded"},
         {routing_way::ConsistentHash, "consistent hashing"},
         {routing_way::PlacementWithoutBelief, "placement without belief"},
         {routing_way::PlacementWithoutHomes, "placement without homes"},
         {routing_way::Placement, "placement"},
         {routing_way::Oracle, "oracle"}}};
    std::vector<text_table> tables;
    for (const routing_scenario &scenario : routingScenarios()) {
        text_table table(scenario.name,
                         {"way", "hit rate %", "first token p50 ms", "first token p99 ms",
                          "wasted recomputation %", "requests"});
        for (const named_way &each : ways) {
            const routing_figures figures = routing_world(each.way, scenario, 1).run();
            table.add({each.name, formatNumber(figures.hitRate * 100, 1),
                       formatNumber(figures.firstTokenP50 * 1000, 0),
                       formatNumber(figures.firstTokenP99 * 1000, 0),
                       formatNumber(figures.wasted * 100, 1), std::to_string(figures.requests)});
        }
        tables.push_back(table);
    }
    return writeTables(tables, argc, argv);
}
