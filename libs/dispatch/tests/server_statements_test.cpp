#include <dispatch/server_statements.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

timestamp at(double seconds) { return timestamp {} + fromSeconds(seconds); }

const std::array<registered_server, 1> oneServer {{{.id = "s1", .startedAtMs = 1}}};

/// Instances that place requests on one server, which names a limit in each answer, and report to
/// each other. Requests that the limit refuses go elsewhere.
struct simulated_fleet
{
    explicit simulated_fleet(std::size_t count, std::uint32_t seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back("i" + std::to_string(i));
            instances.emplace_back(server_statement_options {.randomSeed = seed * 1000
                                                                 + static_cast<std::uint32_t>(i)},
                                   at(0));
        }
        activeCount = std::min<std::size_t>(count, 40);
        reportEvery = 0.2 + 0.003 * static_cast<double>(count - 1);
        for (std::size_t i = 0; i < count; ++i) {
            std::vector<std::string> peers = names;
            std::erase(peers, names[i]);
            instances[i].setServers(oneServer);
            instances[i].requests().setPeers(at(0), peers);
        }
    }

    void report(std::size_t from)
    {
        server_statements &sender = instances[from];
        sequence += 1;
        const admitted_totals demandRates = sender.requests().takeDemandRates(at(now));
        const std::vector<server_limit_record> limits = sender.limits(at(now));
        for (std::size_t to = 0; to < instances.size(); ++to) {
            if (to == from)
                continue;
            instances[to].applyLimits(at(now), limits);
            instances[to].requests().applyReport(at(now),
                                                 {.peer = names[from],
                                                  .incarnation = 1,
                                                  .sequence = sequence,
                                                  .admitted = sender.requests().totals(),
                                                  .demandRates = demandRates,
                                                  .period = fromSeconds(reportEvery)});
        }
    }

    /// Places @p perSecond requests until @p end; the server names @p limit.
    void runUntil(double end, double perSecond, std::optional<double> limit)
    {
        for (; now < end; now += 0.01) {
            for (std::size_t i = 0; i < instances.size(); ++i) {
                const double phase =
                    reportEvery * static_cast<double>(i) / static_cast<double>(instances.size());
                if (std::fmod(now + phase, reportEvery) < 0.01)
                    report(i);
            }
            for (due += perSecond * 0.01; due >= 1; due -= 1) {
                server_statements &instance = instances[next++ % activeCount];
                if (instance.admit(at(now), "s1"))
                    continue;
                sentAt.push_back(now);
                instance.record(at(now + 0.005), at(now), "s1", {.requestsPerSecond = limit});
            }
        }
    }

    /// Returns the most requests within 4 s after @p from.
    std::size_t mostInWindow(double from) const
    {
        std::deque<double> inside;
        std::size_t most = 0;
        for (const double each : sentAt) {
            if (each < from)
                continue;
            inside.push_back(each);
            while (each - inside.front() > 4)
                inside.pop_front();
            most = std::max(most, inside.size());
        }
        return most;
    }

    std::vector<std::string> names;
    std::vector<server_statements> instances;
    /// Number of instances that callers send requests to.
    std::size_t activeCount = 0;
    double reportEvery = 0;
    std::uint64_t sequence = 0;
    double now = 10;
    double due = 0;
    std::size_t next = 0;
    std::vector<double> sentAt;
};

/// The platform's bound for requests in 4 s.
double allowedInWindow(double limit) { return 1.5 * limit * 4 + 5; }

} // namespace

TEST(ServerStatements, FleetKeepsToANamedLimit)
{
    for (const std::size_t instances : {1, 2, 6, 8, 81, 295}) {
        for (const double limit : {0.3, 1.0, 1.5, 6.0, 40.0}) {
            simulated_fleet fleet(instances, 1);
            fleet.runUntil(12, 60, std::nullopt);
            fleet.runUntil(28, 60, limit);
            // The limit binds 3 s after it was first named.
            EXPECT_LE(static_cast<double>(fleet.mostInWindow(15)), allowedInWindow(limit))
                << instances << " " << limit;
        }
    }
}

TEST(ServerStatements, ServerWithALimitStillGetsRequests)
{
    for (const std::size_t instances : {1, 6, 81}) {
        simulated_fleet fleet(instances, 1);
        fleet.runUntil(70, 30, 2.0);
        const std::size_t sent = static_cast<std::size_t>(std::count_if(
            fleet.sentAt.begin(), fleet.sentAt.end(), [](double each) { return each >= 20; }));
        EXPECT_GE(static_cast<double>(sent), 0.8 * 2.0 * 50) << instances;
    }
}

TEST(ServerStatements, DemandBelowALimitIsNotRefused)
{
    simulated_fleet fleet(6, 1);
    fleet.runUntil(60, 5, 20.0);
    EXPECT_GE(static_cast<double>(fleet.sentAt.size()), 0.97 * 5 * 50);
}

TEST(ServerStatements, LimitEndsWithAnAnswerToALaterRequestThatNamesNone)
{
    server_statements statements({});
    statements.requests().setPeers(at(0), {});
    statements.setServers(oneServer);
    EXPECT_TRUE(statements.record(at(10.5), at(10), "s1", {.requestsPerSecond = 1}).hasNewLimit);
    // The answer to an earlier request arrives late.
    EXPECT_FALSE(statements.record(at(11), at(9), "s1", {}).hasLimitEnded);
    EXPECT_EQ(statements.count(at(11)).limited, 1u);
    EXPECT_TRUE(statements.record(at(12), at(11), "s1", {}).hasLimitEnded);
    for (int i = 0; i < 50; ++i)
        EXPECT_FALSE(statements.admit(at(12), "s1"));
}

TEST(ServerStatements, RestartedServerHasNoLimit)
{
    server_statements statements({});
    statements.requests().setPeers(at(0), {});
    statements.setServers(oneServer);
    statements.record(at(10.5), at(10), "s1", {.requestsPerSecond = 0.1});
    const std::array<registered_server, 1> restarted {{{.id = "s1", .startedAtMs = 2}}};
    statements.setServers(restarted);
    EXPECT_EQ(statements.count(at(11)).limited, 0u);
    for (int i = 0; i < 50; ++i)
        EXPECT_FALSE(statements.admit(at(11), "s1"));
}

TEST(ServerStatements, RefusesWithTheTimeUntilTheLimitAllowsARequest)
{
    server_statements statements({});
    statements.requests().setPeers(at(0), {});
    statements.setServers(oneServer);
    statements.record(at(10.5), at(10), "s1", {.requestsPerSecond = 0.5});
    std::optional<duration> wait;
    for (int i = 0; i < 50 && !wait; ++i)
        wait = statements.admit(at(10.5), "s1");
    ASSERT_TRUE(wait);
    EXPECT_GT(toSeconds(*wait), 0);
    EXPECT_LE(toSeconds(*wait), 4);
}

TEST(ServerStatements, LeavingServerIsAvailableAgainOnlyAfterItsRestart)
{
    server_statements statements({});
    statements.setServers(oneServer);
    EXPECT_TRUE(statements.isAvailable(at(10), "s1"));
    EXPECT_TRUE(statements.record(at(10), at(9), "s1", {.isLeaving = true}).isNowLeaving);
    statements.record(at(11), at(10.5), "s1", {});
    statements.setServers(oneServer);
    EXPECT_FALSE(statements.isAvailable(at(100), "s1"));
    EXPECT_EQ(statements.leavingServers(), std::vector<std::string> {"s1"});
    const std::array<registered_server, 1> restarted {{{.id = "s1", .startedAtMs = 2}}};
    statements.setServers(restarted);
    EXPECT_TRUE(statements.isAvailable(at(100), "s1"));
}

TEST(ServerStatements, PauseEndsInTimeAndIsNotShortened)
{
    server_statements statements({});
    statements.setServers(oneServer);
    EXPECT_TRUE(statements.record(at(10), at(9), "s1", {.pause = 3s}).isNowPaused);
    EXPECT_FALSE(statements.record(at(11), at(9), "s1", {.pause = 500ms}).isNowPaused);
    EXPECT_FALSE(statements.isAvailable(at(12.9), "s1"));
    EXPECT_NEAR(toSeconds(*statements.pauseLeft(at(12), "s1")), 1, 1e-9);
    EXPECT_TRUE(statements.isAvailable(at(13), "s1"));
    // Repeated and far too long ones.
    statements.record(at(14), at(14), "s1", {.pause = 2s});
    statements.record(at(15), at(15), "s1", {.pause = 2s});
    statements.record(at(15), at(15), "s1", {.pause = std::chrono::hours(30)});
    EXPECT_FALSE(statements.isAvailable(at(16.9), "s1"));
    EXPECT_TRUE(statements.isAvailable(at(17), "s1"));
}

TEST(ServerStatements, PauseOfALeavingServerIsNoReasonToComeBack)
{
    server_statements statements({});
    statements.setServers(oneServer);
    statements.record(at(10), at(9), "s1", {.isLeaving = true, .pause = 2s});
    EXPECT_FALSE(statements.pauseLeft(at(11), "s1"));
    EXPECT_FALSE(statements.isAvailable(at(13), "s1"));
}

} // namespace trefoil
