#include "limit_world.h"

#include <array>

#include <core/text_table.h>

using namespace trefoil;

/// Compares the ways to keep limits, from one fixed seed, in virtual time.
int main(int argc, char **argv)
{
    struct named_way
    {
        limit_way way;
        const char *name;
    };
    constexpr std::array<named_way, 3> ways {
        {{limit_way::StaticSplit, "equal static split"},
         {limit_way::PlatformLease, "platform lease alone"},
         {limit_way::Confirmations, "owner, grants, confirmations"}}};
    std::vector<text_table> tables;
    for (const limit_scenario &scenario : limitScenarios()) {
        text_table table(scenario.name,
                         {"way", "overshoot tokens", "refused within rate %", "worst-served team %",
                          "messages/node/s", "platform calls/s", "requests"});
        for (const named_way &each : ways) {
            const limit_figures figures = limit_world(each.way, scenario, 1).run();
            table.add({each.name, formatNumber(figures.overshoot, 0),
                       formatNumber(figures.refusedWithinRate * 100, 2),
                       formatNumber(figures.worstServed * 100, 1),
                       formatNumber(figures.messagesPerNodeSecond, 1),
                       formatNumber(figures.platformCallsPerSecond, 2),
                       std::to_string(figures.requests)});
        }
        tables.push_back(table);
    }
    return writeTables(tables, argc, argv);
}
