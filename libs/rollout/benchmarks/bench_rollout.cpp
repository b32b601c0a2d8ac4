#include "rollout_simulation.h"

#include <core/text_table.h>

using namespace trefoil;

namespace {

/// Named version to roll out.
struct benchmark_version
{
    std::string name;
    version_behaviour behaviour;
};

std::vector<benchmark_version> benchmarkVersions()
{
    std::vector<benchmark_version> versions(7);
    versions[0].name = "good";
    versions[1].name = "good, at the tolerable shares";
    versions[1].behaviour.failureProbability = [](double, int, double) { return 0.005; };
    versions[1].behaviour.slowProbability = [](double, int, double) { return 0.05; };
    versions[2].name = "bad from the start";
    versions[2].behaviour.failureProbability = [](double, int, double) { return 0.9; };
    versions[3].name = "bad later";
    versions[3].behaviour.failureProbability = [](double, int, double seconds) {
        return seconds > 25 ? 0.5 : 0.002;
    };
    versions[4].name = "bad under load";
    versions[4].behaviour.failureProbability = [](double share, int, double) {
        return share > 0.2 ? 0.4 : 0.002;
    };
    versions[5].name = "bad on one route";
    versions[5].behaviour.failureProbability = [](double, int route, double) {
        return route == 1 ? 0.8 : 0.002;
    };
    versions[6].name = "slow";
    versions[6].behaviour.slowProbability = [](double, int, double) { return 0.7; };
    return versions;
}

} // namespace

/// Simulates rollouts of 60 s with 100 seeds, by the controller and by a baseline that follows the
/// schedule without looking at request outcomes.
int main(int argc, char **argv)
{
    constexpr int runs = 100;
    text_table table("rollouts of 60 s, 18 backend servers, 100 requests/s, 100 seeds",
                     {"version", "done in time", "rolled back", "max share before rollback %",
                      "requests after rollback", "max parallel loads", "baseline: done in time",
                      "baseline: traffic to the version %"});
    for (const benchmark_version &version : benchmarkVersions()) {
        int done = 0;
        int rolledBack = 0;
        int maxParallelLoads = 0;
        double maxShare = 0;
        double requestsAfterRollback = 0;
        int baselineDone = 0;
        double baselineShare = 0;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            const rollout_result run = simulateRollout(version.behaviour, seed);
            done += run.record.stage == rollout_stage::Done && run.doneAt <= 60 ? 1 : 0;
            rolledBack += run.record.stage == rollout_stage::RolledBack ? 1 : 0;
            maxParallelLoads = std::max(maxParallelLoads, run.maxParallelLoads);
            maxShare = std::max(maxShare, run.newShareOfTraffic);
            requestsAfterRollback += run.newVersionRequestsAfterRollback;
            const rollout_result baseline = simulateRollout(version.behaviour, seed, -1, false);
            baselineDone += baseline.record.stage == rollout_stage::Done ? 1 : 0;
            baselineShare += baseline.newShareOfTraffic / runs;
        }
        table.add({version.name, std::to_string(done), std::to_string(rolledBack),
                   rolledBack > 0 ? formatNumber(maxShare * 100, 2) : "-",
                   formatNumber(requestsAfterRollback, 0), std::to_string(maxParallelLoads),
                   std::to_string(baselineDone), formatNumber(baselineShare * 100, 1)});
    }
    return writeTables({table}, argc, argv);
}
