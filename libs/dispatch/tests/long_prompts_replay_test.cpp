// Replays long prompts beside short requests and guards against late streams at usual load: 14% of
// the short requests were late although their first event came after 80 ms, because engines that
// other work slowed down prefilled long prompts between their events.

#include <dispatch/load_balancer.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <queue>
#include <random>
#include <utility>

#include <core/digest.h>
#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

constexpr double tokensPerMs = 36.1;
constexpr double chunkTokens = 1024;
/// Time of an engine's step without prefill: steps of 655 ms for 7 tokens were seen beside chunks
/// at 2.5 times the usual time.
constexpr double stepMs = 9;
constexpr int tokensPerEvent = 7;
constexpr duration allowedPause = 500ms;
constexpr duration shortTarget = 500ms;
constexpr duration longTarget = 800ms;
constexpr int engineCount = 18;
constexpr int instanceCount = 4;
constexpr duration reportInterval = 200ms;
/// The replays of these seeds are evaluated together.
constexpr std::uint64_t seedCount = 24;
constexpr duration runTime = 40s;
constexpr duration warmUp = 5s;
constexpr duration changeStart = 15s;
constexpr duration changeEnd = 25s;

struct scenario
{
    const char *name;
    double longPerSecond = 15;
    double shortPerSecond = 70;
    /// From changeStart to changeEnd: long prompts by this factor, share of them of one team, lost
    /// servers.
    double burst = 1;
    double hotShare = 0;
    int lostServers = 0;
};

struct times
{
    std::vector<double> firstMs;
    std::vector<double> pauseMs;
    int served = 0;
    int inTarget = 0;

    double share() const { return static_cast<double>(inTarget) / std::max(1, served); }
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

struct job
{
    bool isLong = false;
    int instance = 0;
    std::uint64_t ticket = 0;
    timestamp startedAt;
    timestamp readyAt;
    timestamp lastEventAt;
    double tokensLeft = 0;
    int outputLeft = 0;
    int sinceEvent = 0;
    double firstMs = -1;
    double longestPauseMs = 0;
};

struct engine
{
    std::string id;
    std::deque<job> waiting;
    std::vector<job> running;
    double chunk = 0;
    bool isBusy = false;
    bool isLost = false;
    timestamp stepEnd;
};

/// Runs a fleet of engines and instances that exchange reports.
class replay
{
public:
    replay(const scenario &played, bool isOn, std::uint64_t seed)
        : m_scenario(played), m_random(seed), m_seed(seed)
    {
        serving_tables tables;
        tables.services["llm"] = {.name = "llm",
                                  .engine = engine_traits {.slots = 128,
                                                           .memoryTokens = 142115,
                                                           .bytesPerToken = 35136,
                                                           .linkMbps = 50000,
                                                           .models = {"m"}}};
        tables.routes = {{.name = "questions",
                          .targetLatency = shortTarget,
                          .targetPause = allowedPause,
                          .targets = {{.service = "llm"}}},
                         {.name = "ratings",
                          .targetLatency = isOn ? longTarget : shortTarget,
                          .targetPause = allowedPause,
                          .targets = {{.service = "llm"}}}};
        for (int i = 0; i < engineCount; ++i) {
            m_engines.push_back({.id = "e" + std::to_string(i)});
            m_servers.push_back({.id = m_engines.back().id,
                                 .service = "llm",
                                 .zone = "z" + std::to_string(i % 3),
                                 .slots = 128,
                                 .weights = {{"m", 1}},
                                 .startedAtMs = 1});
        }
        for (int i = 0; i < instanceCount; ++i) {
            m_balancers.emplace_back(
                load_balancer_options {.zone = "z" + std::to_string(i % 3),
                                       .randomSeed = seed * 10 + static_cast<std::uint64_t>(i),
                                       .prefill = {.initialTokensPerMs = tokensPerMs}});
            m_balancers.back().setTables(tables);
            m_balancers.back().setServers(m_servers);
        }
    }

    void run()
    {
        timestamp nextLong = m_now + 1ms;
        timestamp nextShort = m_now + 1ms;
        timestamp nextReport = m_now + reportInterval;
        while (m_now < m_start + runTime) {
            timestamp next = std::min({nextLong, nextShort, nextReport});
            engine *due = nullptr;
            for (engine &each : m_engines) {
                if (each.isBusy && each.stepEnd < next) {
                    next = each.stepEnd;
                    due = &each;
                }
            }
            m_now = next;
            changeServers();
            if (due != nullptr) {
                endStep(*due);
            } else if (m_now == nextReport) {
                exchangeReports();
                nextReport += reportInterval;
            } else {
                const bool isLong = m_now == nextLong;
                const double rate = isLong
                    ? m_scenario.longPerSecond * (isChanged() ? m_scenario.burst : 1)
                    : m_scenario.shortPerSecond;
                (isLong ? nextLong : nextShort) +=
                    fromSeconds(std::exponential_distribution<double>(rate)(m_random));
                arrive(isLong);
            }
        }
    }

    times shorts;
    times longs;

private:
    bool isChanged() const { return m_now >= m_start + changeStart && m_now < m_start + changeEnd; }

    /// Other work slows two fifths of the machines down for two seconds at a time, by 2 to 2.5,
    /// which changes ten times a second.
    double paceOf(const engine &of) const
    {
        const auto number = [&](std::uint64_t slot) {
            return static_cast<double>(hash64(of.id, slot * 977 + m_seed) % 1000) / 1000;
        };
        const auto ms = static_cast<std::uint64_t>(toMilliseconds(m_now - m_start));
        if (number(ms / 2000) > 0.4)
            return 1;
        return 2.0 + 0.5 * number(1'000'000 + ms / 100);
    }

    void changeServers()
    {
        const int lost = isChanged() ? m_scenario.lostServers : 0;
        if (lost == m_lost)
            return;
        m_lost = lost;
        for (int i = 0; i < lost; ++i) {
            engine &each = m_engines[static_cast<std::size_t>(i)];
            each = {.id = each.id, .isLost = true};
        }
        for (load_balancer &each : m_balancers)
            each.setServers(std::span(m_servers).subspan(static_cast<std::size_t>(lost)));
    }

    void exchangeReports()
    {
        for (std::size_t from = 0; from < m_balancers.size(); ++from) {
            const server_loads load = m_balancers[from].ownLoad();
            const std::vector<cache_placement> placed = m_balancers[from].takeCachePlacements();
            for (std::size_t to = 0; to < m_balancers.size(); ++to) {
                if (to == from)
                    continue;
                m_balancers[to].setPeerLoad(m_now, "i" + std::to_string(from), load);
                m_balancers[to].addCachePlacements(m_now, placed);
            }
        }
    }

    void arrive(bool isLong)
    {
        std::vector<prompt_part> prompt;
        if (isLong) {
            std::lognormal_distribution<double> size(std::log(5200), 0.6);
            const bool isHot = isChanged()
                && std::uniform_real_distribution<double>(0, 1)(m_random) < m_scenario.hotShare;
            const int team = isHot ? 0 : std::uniform_int_distribution<int>(1, 40)(m_random);
            prompt = {{"team" + std::to_string(team), 3000},
                      {"own", std::min(36600.0, size(m_random))}};
        } else {
            prompt = {{"own", 826}};
        }
        const request_profile request {.service = "llm",
                                       .model = "m",
                                       .prompt = prompt,
                                       .outputTokens = isLong ? 13.0 : 42.0,
                                       .targetLatency = isLong ? longTarget : shortTarget};
        const int at = std::uniform_int_distribution<int>(0, instanceCount - 1)(m_random);
        load_balancer &balancer = m_balancers[static_cast<std::size_t>(at)];
        const std::optional<server_placement> placed = balancer.choose(m_now, request);
        ASSERT_TRUE(placed);
        engine &chosen = *std::find_if(m_engines.begin(), m_engines.end(), [&](const engine &each) {
            return each.id == placed->server;
        });
        chosen.waiting.push_back({.isLong = isLong,
                                  .instance = at,
                                  .ticket = balancer.begin(m_now, *placed, request),
                                  .startedAt = m_now,
                                  .readyAt = m_now + fromSeconds(placed->copyMs / 1000),
                                  .tokensLeft = placed->missingTokens,
                                  .outputLeft = isLong ? 13 : 42});
        if (!chosen.isBusy)
            startStep(chosen);
    }

    void startStep(engine &each)
    {
        each.isBusy = !each.waiting.empty() || !each.running.empty();
        if (!each.isBusy)
            return;
        // Chunks are filled from the prompts in order.
        double room = chunkTokens;
        for (job &next : each.waiting) {
            if (next.readyAt > m_now)
                continue;
            const double taken = std::min(room, next.tokensLeft);
            next.tokensLeft -= taken;
            room -= taken;
        }
        const double ms = stepMs + (chunkTokens - room) / tokensPerMs;
        each.stepEnd = m_now + fromSeconds(ms * paceOf(each) / 1000);
    }

    void endStep(engine &each)
    {
        std::vector<job> still;
        for (job &running : each.running) {
            if (!produce(each, running))
                still.push_back(running);
        }
        std::deque<job> waiting;
        for (job &next : each.waiting) {
            if (next.tokensLeft > 0 || next.readyAt > m_now)
                waiting.push_back(next);
            else if (!produce(each, next))
                still.push_back(next);
        }
        each.running = std::move(still);
        each.waiting = std::move(waiting);
        startStep(each);
    }

    /// Produces a token. Returns whether it was the last one.
    bool produce(const engine &at, job &of)
    {
        load_balancer &balancer = m_balancers[static_cast<std::size_t>(of.instance)];
        const bool isFirst = of.firstMs < 0;
        const bool isLast = --of.outputLeft == 0;
        ++of.sinceEvent;
        if (!isFirst && !isLast && of.sinceEvent < tokensPerEvent)
            return false;
        of.sinceEvent = 0;
        if (isFirst) {
            of.firstMs = toSeconds(m_now - of.startedAt) * 1000;
            balancer.onPaceReported(m_now, at.id, static_cast<int>(100 * paceOf(at)));
            balancer.onFirstEvent(m_now, of.ticket);
        } else {
            of.longestPauseMs =
                std::max(of.longestPauseMs, toSeconds(m_now - of.lastEventAt) * 1000);
        }
        of.lastEventAt = m_now;
        if (!isLast)
            return false;
        balancer.end(m_now, of.ticket, attempt_outcome::Done);
        if (of.startedAt < m_start + warmUp)
            return true;
        times &taken = of.isLong ? longs : shorts;
        taken.firstMs.push_back(of.firstMs);
        taken.pauseMs.push_back(of.longestPauseMs);
        taken.served += 1;
        const double target = toSeconds(of.isLong ? longTarget : shortTarget) * 1000;
        const bool isInTime =
            of.firstMs <= target && of.longestPauseMs <= toSeconds(allowedPause) * 1000;
        taken.inTarget += isInTime ? 1 : 0;
        return true;
    }

    scenario m_scenario;
    std::mt19937_64 m_random;
    std::uint64_t m_seed;
    timestamp m_start = timestamp {} + 1h;
    timestamp m_now = m_start;
    int m_lost = 0;
    std::vector<engine> m_engines;
    std::vector<registered_server> m_servers;
    std::deque<load_balancer> m_balancers;
};

void append(times &to, const times &from)
{
    to.firstMs.insert(to.firstMs.end(), from.firstMs.begin(), from.firstMs.end());
    to.pauseMs.insert(to.pauseMs.end(), from.pauseMs.begin(), from.pauseMs.end());
    to.served += from.served;
    to.inTarget += from.inTarget;
}

/// Times of the short and of the long prompts.
std::pair<times, times> timesOf(const scenario &played, bool isOn)
{
    std::pair<times, times> all;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        replay each(played, isOn, seed);
        each.run();
        append(all.first, each.shorts);
        append(all.second, each.longs);
    }
    return all;
}

/// Prints percentiles 50, 95 and 99 in milliseconds.
void print(const char *name, const char *kind, const times &of)
{
    std::printf("| %s | %s | %.0f / %.0f / %.0f | %.0f / %.0f / %.0f | %.1f%% |\n", name, kind,
                percentile(of.firstMs, 0.5), percentile(of.firstMs, 0.95),
                percentile(of.firstMs, 0.99), percentile(of.pauseMs, 0.5),
                percentile(of.pauseMs, 0.95), percentile(of.pauseMs, 0.99), of.share() * 100);
}

constexpr std::array<scenario, 4> scenarios {
    {{.name = "quiet"},
     {.name = "burst", .burst = 2.5},
     {.name = "hot team", .burst = 1.5, .hotShare = 0.5},
     {.name = "servers lost", .lostServers = engineCount / 3}}};

} // namespace

// Both kinds of requests have to meet their targets: long prompts may be late more often only by
// less than the hundredth at which the targets are measured (p99).
TEST(LongPromptsReplay, ShortRequestsAreInTimeMoreOftenAndLongOnesHardlyLess)
{
    constexpr double longTolerance = 0.01;
    for (const scenario &each : scenarios) {
        const auto [shortOff, longOff] = timesOf(each, false);
        const auto [shortOn, longOn] = timesOf(each, true);
        print(each.name, "short, off", shortOff);
        print(each.name, "short, on", shortOn);
        print(each.name, "long, off", longOff);
        print(each.name, "long, on", longOn);
        EXPECT_GE(shortOn.share(), shortOff.share()) << each.name;
        if (each.burst > 2) {
            EXPECT_GT(shortOn.share(), shortOff.share()) << each.name;
        }
        EXPECT_GE(longOn.share(), longOff.share() - longTolerance) << each.name;
    }
}

} // namespace trefoil
