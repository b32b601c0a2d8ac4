#include "rollout_world.h"

#include <core/text_table.h>

using namespace trefoil;

namespace {

struct rollout_kind
{
    std::string name;
    behaviour next;
};

std::vector<rollout_kind> kinds()
{
    std::vector<rollout_kind> all(7);
    all[0].name = "good";
    all[1].name = "good but unlucky";
    all[1].next.fails = [](double, int, double) { return 0.005; };
    all[1].next.slow = [](double, int, double) { return 0.05; };
    all[2].name = "bad at once";
    all[2].next.fails = [](double, int, double) { return 0.9; };
    all[3].name = "bad later";
    all[3].next.fails = [](double, int, double seconds) { return seconds > 25 ? 0.5 : 0.002; };
    all[4].name = "bad under load";
    all[4].next.fails = [](double share, int, double) { return share > 0.2 ? 0.4 : 0.002; };
    all[5].name = "bad on one route";
    all[5].next.fails = [](double, int route, double) { return route == 1 ? 0.8 : 0.002; };
    all[6].name = "slow";
    all[6].next.slow = [](double, int, double) { return 0.7; };
    return all;
}

} // namespace

/// Rollouts of 60 s over 100 seeds, by the driver and by the baseline: a schedule that looks at no
/// evidence.
int main(int argc, char **argv)
{
    constexpr int runs = 100;
    text_table table("rollouts of 60 s, 18 workers, 100 requests/s, 100 seeds",
                     {"version", "done in time", "taken back", "worst share before the fault %",
                      "requests after taking back", "most loads at once", "baseline: done in time",
                      "baseline: traffic it got %"});
    for (const rollout_kind &kind : kinds()) {
        int done = 0;
        int back = 0;
        int mostLoads = 0;
        double worstShare = 0;
        double after = 0;
        int baselineDone = 0;
        double baselineShare = 0;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            const run_result run = runRollout(kind.next, seed);
            done += run.record.stage == rollout_stage::Done && run.doneAt <= 60 ? 1 : 0;
            back += run.record.stage == rollout_stage::TakenBack ? 1 : 0;
            mostLoads = std::max(mostLoads, run.mostLoads);
            worstShare = std::max(worstShare, run.newShareOfTraffic);
            after += run.badAfterTakeBack;
            const run_result blind = runRollout(kind.next, seed, -1, false);
            baselineDone += blind.record.stage == rollout_stage::Done ? 1 : 0;
            baselineShare += blind.newShareOfTraffic / runs;
        }
        table.add({kind.name, std::to_string(done), std::to_string(back),
                   back > 0 ? formatNumber(worstShare * 100, 2) : "-", formatNumber(after, 0),
                   std::to_string(mostLoads), std::to_string(baselineDone),
                   formatNumber(baselineShare * 100, 1)});
    }
    return writeTables({table}, argc, argv);
}
