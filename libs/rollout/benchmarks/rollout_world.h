#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <rollout/rollout_driver.h>

namespace trefoil {

/// What a version does to a request: the chance to fail and to be slow, given the share of the
/// traffic that it gets, the route and the seconds since the start.
struct behaviour
{
    std::function<double(double share, int route, double seconds)> fails = [](double, int, double) {
        return 0.002;
    };
    std::function<double(double share, int route, double seconds)> slow = [](double, int, double) {
        return 0.02;
    };
};

struct run_result
{
    rollout_record record;
    double doneAt = -1;
    double takenBackAt = -1;
    double badAfterTakeBack = 0;
    double newShareOfTraffic = 0; // until taken back
    int mostLoads = 0;
    std::size_t workersOnNew = 0;
};

/// Runs a rollout of 60 s in virtual time: 18 workers, 100 requests a second on three routes, loads
/// of 1.5 s, evidence known to the driver half a second late.
inline run_result runRollout(const behaviour &next, std::uint64_t seed, double crashDriverAt = -1,
                             bool useEvidence = true)
{
    const timestamp start {std::chrono::seconds(1000)};
    const rollout_options options {
        .from = "v1", .to = "v2", .start = start, .deadline = start + std::chrono::seconds(60)};
    std::mt19937_64 random(seed);
    const auto chance = [&](double share) {
        return std::uniform_real_distribution<double>(0, 1)(random) < share;
    };
    std::optional<rollout_driver> driver;
    driver.emplace(options, std::nullopt);
    std::vector<rollout_worker> workers;
    for (int i = 0; i < 18; ++i)
        workers.push_back({.name = "w" + std::to_string(i), .version = "v1"});
    std::map<std::string, std::pair<double, std::string>> loading;
    evidence known;
    std::vector<std::function<void()>> late;
    run_result outcome;
    double requests = 0;
    double onNew = 0;
    bool crashed = false;
    for (int step = 0; step < 1000; ++step) {
        const double seconds = step * 0.1;
        const timestamp now = start + fromSeconds(seconds);
        if (step % 5 == 0) {
            for (const std::function<void()> &report : late)
                report();
            late.clear();
        }
        for (auto it = loading.begin(); it != loading.end();) {
            if (seconds < it->second.first) {
                ++it;
                continue;
            }
            for (rollout_worker &each : workers) {
                if (each.name == it->first)
                    each.version = it->second.second;
            }
            it = loading.erase(it);
        }
        if (crashDriverAt >= 0 && seconds >= crashDriverAt && !crashed) {
            crashed = true;
            const rollout_record kept = driver->record();
            driver.emplace(options, kept);
        }
        driver->setWorkers(workers);
        for (const load_order &order : driver->tick(now, 1, known)) {
            loading[order.worker] = {seconds + 1.5, order.version};
            for (rollout_worker &each : workers) {
                if (each.name == order.worker)
                    each.version.clear();
            }
        }
        outcome.mostLoads = std::max(outcome.mostLoads, static_cast<int>(loading.size()));
        const rollout_record &record = driver->record();
        if (record.stage == rollout_stage::Done && outcome.doneAt < 0)
            outcome.doneAt = seconds;
        if (record.stage == rollout_stage::TakenBack && outcome.takenBackAt < 0)
            outcome.takenBackAt = seconds;
        for (int i = 0; i < 10; ++i) {
            const int route = static_cast<int>(random() % 3);
            const bool takesNew = takesNewVersion(random(), record.share);
            const std::string version = takesNew ? "v2" : "v1";
            const behaviour good;
            const behaviour &how = takesNew ? next : good;
            const bool failed = chance(how.fails(record.share, route, seconds));
            const bool slow = chance(how.slow(record.share, route, seconds));
            late.push_back([&known, version, route, failed, slow, useEvidence] {
                known.note(version, "r" + std::to_string(route), failed && useEvidence,
                           slow && useEvidence);
            });
            if (outcome.takenBackAt < 0) {
                requests += 1;
                onNew += takesNew ? 1 : 0;
            } else if (takesNew) {
                outcome.badAfterTakeBack += 1;
            }
        }
    }
    outcome.record = driver->record();
    outcome.newShareOfTraffic = onNew / std::max(1.0, requests);
    for (const rollout_worker &each : workers)
        outcome.workersOnNew += each.version == "v2" ? 1 : 0;
    return outcome;
}

} // namespace trefoil
