// Guards against an instance that has lost all its links to backend servers and goes on trying one
// server after the other, and against taking the loss of some servers for that.

#include <dispatch/server_reach.h>

#include <array>

#include <dispatch/load_balancer.h>
#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

constexpr duration timeout = 300ms;

timestamp at(duration time) { return timestamp {} + 10s + time; }

/// A connection to @p server that times out at @p time.
bool timeOut(server_reach &reach, duration time, const char *server)
{
    return reach.record(at(time), {.server = server, .startedAt = at(time - timeout)});
}

bool connect(server_reach &reach, duration time, const char *server)
{
    return reach.record(at(time),
                        {.server = server, .startedAt = at(time - 2ms), .isConnected = true});
}

server_reach makeReach(std::size_t servers = 22)
{
    server_reach reach;
    reach.setServerCount(servers);
    return reach;
}

} // namespace

TEST(ServerReach, FourFailedServersWithoutASuccessMeanCutOff)
{
    server_reach reach = makeReach();
    EXPECT_FALSE(timeOut(reach, 0ms, "a"));
    EXPECT_FALSE(reach.isSuspected(at(0ms)));
    EXPECT_FALSE(timeOut(reach, 300ms, "b"));
    EXPECT_TRUE(reach.isSuspected(at(300ms)));
    EXPECT_FALSE(timeOut(reach, 350ms, "c"));
    EXPECT_FALSE(reach.isCutOff());
    EXPECT_TRUE(timeOut(reach, 650ms, "d"));
    EXPECT_TRUE(reach.isCutOff());
    EXPECT_FALSE(reach.isSuspected(at(650ms)));
}

// A server that is tried again and again is one lost server.
TEST(ServerReach, OneServerThatFailsOftenIsNotCutOff)
{
    server_reach reach = makeReach();
    for (int i = 0; i < 20; ++i)
        timeOut(reach, i * 10ms, "a");
    EXPECT_FALSE(reach.isCutOff());
    EXPECT_FALSE(reach.isSuspected(at(200ms)));
}

// A quarter of the servers went dark: their connections timed out together, long after others had
// succeeded.
TEST(ServerReach, FailuresThatBeganBeforeASuccessDoNotCount)
{
    server_reach reach = makeReach();
    connect(reach, 20ms, "sound");
    for (const char *server : {"a", "b", "c", "d", "e", "f"})
        timeOut(reach, 310ms, server);
    EXPECT_FALSE(reach.isCutOff());
    EXPECT_FALSE(reach.isSuspected(at(310ms)));
}

// Servers that are known to be lost are probed on and on by instances without other calls.
TEST(ServerReach, FailuresOfServersThatWereUnreachableDoNotCount)
{
    server_reach reach = makeReach();
    for (int i = 0; i < 20; ++i) {
        for (const char *server : {"a", "b", "c", "d", "e"})
            reach.record(
                at(i * 100ms),
                {.server = server, .startedAt = at(i * 100ms - timeout), .wasUnreachable = true});
    }
    EXPECT_FALSE(reach.isCutOff());
    reach.record(at(3s),
                 {.server = "a",
                  .startedAt = at(2700ms),
                  .wasUnreachable = true,
                  .areAllUnreachable = true});
    EXPECT_FALSE(reach.isCutOff());
    reach.record(at(3200ms),
                 {.server = "b",
                  .startedAt = at(2900ms),
                  .wasUnreachable = true,
                  .areAllUnreachable = true});
    EXPECT_TRUE(reach.isCutOff()) << "no server is reachable";
}

// Several servers crashed at once: connections to them were refused before one to another
// succeeded.
TEST(ServerReach, RefusalsAtTheSameMomentAreNotEnough)
{
    server_reach reach = makeReach();
    for (const char *server : {"a", "b", "c", "d", "e"})
        reach.record(at(2ms), {.server = server, .startedAt = at(0ms)});
    EXPECT_FALSE(reach.isCutOff());
    reach.record(at(90ms), {.server = "f", .startedAt = at(88ms)});
    EXPECT_FALSE(reach.isCutOff());
    reach.record(at(110ms), {.server = "g", .startedAt = at(108ms)});
    EXPECT_TRUE(reach.isCutOff());
}

TEST(ServerReach, ASuccessEndsTheStateAndStartsTheCountAnew)
{
    server_reach reach = makeReach();
    for (const char *server : {"a", "b", "c", "d"})
        timeOut(reach, 0ms, server);
    timeOut(reach, 200ms, "e");
    ASSERT_TRUE(reach.isCutOff());
    EXPECT_TRUE(connect(reach, 12s, "e"));
    EXPECT_FALSE(reach.isCutOff());
    for (const char *server : {"a", "b", "c"})
        timeOut(reach, 12400ms, server);
    timeOut(reach, 12600ms, "a");
    EXPECT_FALSE(reach.isCutOff());
}

// Failures of servers that crashed one after the other, while the instance had no other calls.
TEST(ServerReach, FailuresFarApartDoNotAddUp)
{
    server_reach reach = makeReach();
    constexpr std::array<const char *, 6> servers {"a", "b", "c", "d", "e", "f"};
    for (std::size_t i = 0; i < servers.size(); ++i)
        timeOut(reach, static_cast<int>(i) * 1s, servers[i]);
    EXPECT_FALSE(reach.isCutOff());
}

// Nothing is heard for as long as the cut lasts, however few calls there are.
TEST(ServerReach, StaysCutOffUntilAConnectionSucceeds)
{
    server_reach reach = makeReach(3);
    for (const char *server : {"a", "b", "c"})
        timeOut(reach, 0ms, server);
    timeOut(reach, 150ms, "a");
    ASSERT_TRUE(reach.isCutOff());
    timeOut(reach, 30s, "a");
    EXPECT_TRUE(reach.isCutOff());
}

// A single server that fails is gone rather than out of reach.
TEST(ServerReach, TheOnlyServerDoesNotCutOff)
{
    server_reach reach = makeReach(1);
    timeOut(reach, 0ms, "a");
    timeOut(reach, 500ms, "a");
    EXPECT_FALSE(reach.isCutOff());
}

// Instances without calls took the loss of a quarter of the servers for a cut: other instances made
// them probe just those.
TEST(ServerReach, ProbesOfLostServersGoWithSomeOfOthers)
{
    load_balancer balancer({.zone = "z1"});
    std::vector<registered_server> servers;
    for (int i = 0; i < 60; ++i)
        servers.push_back({.id = "s" + std::to_string(i), .service = "app", .startedAtMs = 1});
    balancer.setServers(servers);
    for (int i = 0; i < 15; ++i)
        balancer.requestProbe(at(0ms), "s" + std::to_string(i));
    const auto isLost = [](const registered_server &server) {
        return std::stoi(server.id.substr(1)) < 15;
    };
    for (duration tick = 0ms; tick < 3s; tick += 100ms) {
        const std::vector<registered_server> lost = balancer.serversToProbe(at(tick));
        std::vector<registered_server> due = balancer.controlServers(at(tick), lost);
        due.insert(due.end(), lost.begin(), lost.end());
        if (tick == 0ms) {
            ASSERT_EQ(due.size(), 17u);
            EXPECT_FALSE(isLost(due.front())) << "six probes run at once; the others wait";
        }
        for (const registered_server &each : due) {
            const bool isConnected = !isLost(each);
            balancer.recordConnection(at(tick + (isConnected ? 3ms : 50ms)), at(tick), each.id,
                                      isConnected);
            balancer.onProbeResult(each.id, isConnected);
        }
        ASSERT_FALSE(balancer.reach().isCutOff());
        ASSERT_FALSE(balancer.reach().isSuspected(at(tick + 50ms)));
    }
}

// The entries of lost servers expired while they were probed, and their failures counted anew.
TEST(ServerReach, FailuresOfServersThatAreNotListedDoNotCount)
{
    load_balancer balancer({.zone = "z1"});
    std::vector<registered_server> servers;
    for (int i = 0; i < 10; ++i)
        servers.push_back({.id = "s" + std::to_string(i), .service = "app", .startedAtMs = 1});
    balancer.setServers(servers);
    for (int i = 0; i < 8; ++i)
        balancer.recordConnection(at(i * 100ms), at(i * 100ms - timeout),
                                  "gone" + std::to_string(i), false);
    EXPECT_FALSE(balancer.reach().isCutOff());
    EXPECT_FALSE(balancer.reach().isSuspected(at(800ms)));
}

} // namespace trefoil
