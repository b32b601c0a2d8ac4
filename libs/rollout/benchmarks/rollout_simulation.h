#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <rollout/rollout_controller.h>

namespace trefoil {

/// Behaviour of a simulated version: the probabilities that a request fails or is slow, depending
/// on the version's share of the traffic, the route and the seconds since the start.
struct version_behaviour
{
    std::function<double(double share, int route, double seconds)> failureProbability =
        [](double, int, double) { return 0.002; };
    std::function<double(double share, int route, double seconds)> slowProbability =
        [](double, int, double) { return 0.02; };
};

/// Result of a simulated rollout.
struct rollout_result
{
    rollout_record record;
    double doneAt = -1;
    double rolledBackAt = -1;
    double newVersionRequestsAfterRollback = 0;
    double newShareOfTraffic = 0; // until the rollback
    int maxParallelLoads = 0;
    std::size_t serversOnNewVersion = 0;
};

/// Simulates a rollout of 60 s in virtual time: 18 backend servers, 100 requests per second on
/// three routes, 1.5 s to load a version, and outcomes that reach the controller half a second
/// late. The controller is replaced @p restartControllerAt seconds after the start, if that is not
/// negative. Without @p reportFailures all outcomes reach it as successes.
inline rollout_result simulateRollout(const version_behaviour &next, std::uint64_t seed,
                                      double restartControllerAt = -1, bool reportFailures = true)
{
    const timestamp start {std::chrono::seconds(1000)};
    const rollout_options options {
        .from = "v1", .to = "v2", .start = start, .deadline = start + std::chrono::seconds(60)};
    std::mt19937_64 random(seed);
    const auto chance = [&](double share) {
        return std::uniform_real_distribution<double>(0, 1)(random) < share;
    };
    std::optional<rollout_controller> controller;
    controller.emplace(options, std::nullopt);
    std::vector<rollout_server> servers;
    for (int i = 0; i < 18; ++i)
        servers.push_back({.name = "w" + std::to_string(i), .version = "v1"});
    std::map<std::string, std::pair<double, std::string>> loading;
    outcome_statistics outcomes;
    std::vector<std::function<void()>> pendingReports;
    rollout_result rollout;
    double requests = 0;
    double newVersionRequests = 0;
    bool restarted = false;
    for (int tick = 0; tick < 1000; ++tick) {
        const double seconds = tick * 0.1;
        const timestamp now = start + fromSeconds(seconds);
        if (tick % 5 == 0) {
            for (const std::function<void()> &report : pendingReports)
                report();
            pendingReports.clear();
        }
        for (auto it = loading.begin(); it != loading.end();) {
            if (seconds < it->second.first) {
                ++it;
                continue;
            }
            for (rollout_server &each : servers) {
                if (each.name == it->first)
                    each.version = it->second.second;
            }
            it = loading.erase(it);
        }
        if (restartControllerAt >= 0 && seconds >= restartControllerAt && !restarted) {
            restarted = true;
            const rollout_record storedRecord = controller->record();
            controller.emplace(options, storedRecord);
        }
        controller->setServers(servers);
        for (const load_order &order : controller->tick(now, 1, outcomes)) {
            loading[order.server] = {seconds + 1.5, order.version};
            for (rollout_server &each : servers) {
                if (each.name == order.server)
                    each.version.clear();
            }
        }
        rollout.maxParallelLoads =
            std::max(rollout.maxParallelLoads, static_cast<int>(loading.size()));
        const rollout_record &record = controller->record();
        if (record.stage == rollout_stage::Done && rollout.doneAt < 0)
            rollout.doneAt = seconds;
        if (record.stage == rollout_stage::RolledBack && rollout.rolledBackAt < 0)
            rollout.rolledBackAt = seconds;
        for (int i = 0; i < 10; ++i) {
            const int route = static_cast<int>(random() % 3);
            const bool takesNew = takesNewVersion(random(), record.share);
            const std::string version = takesNew ? "v2" : "v1";
            const version_behaviour good;
            const version_behaviour &behaviour = takesNew ? next : good;
            const bool failed = chance(behaviour.failureProbability(record.share, route, seconds));
            const bool slow = chance(behaviour.slowProbability(record.share, route, seconds));
            pendingReports.push_back([&outcomes, version, route, failed, slow, reportFailures] {
                outcomes.recordOutcome(version, "r" + std::to_string(route),
                                       failed && reportFailures, slow && reportFailures);
            });
            if (rollout.rolledBackAt < 0) {
                requests += 1;
                newVersionRequests += takesNew ? 1 : 0;
            } else if (takesNew) {
                rollout.newVersionRequestsAfterRollback += 1;
            }
        }
    }
    rollout.record = controller->record();
    rollout.newShareOfTraffic = newVersionRequests / std::max(1.0, requests);
    for (const rollout_server &each : servers)
        rollout.serversOnNewVersion += each.version == "v2" ? 1 : 0;
    return rollout;
}

} // namespace trefoil
