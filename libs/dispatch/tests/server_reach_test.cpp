// Guards against an instance that has lost all its links to backend servers and goes on trying one
// server after the other, and against taking the loss of some servers for that.

#include <dispatch/server_reach.h>

#include <array>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

timestamp at(duration time) { return timestamp {} + 10s + time; }

} // namespace

TEST(ServerReach, FourFailedServersWithoutASuccessMeanCutOff)
{
    server_reach reach;
    reach.setServerCount(22);
    EXPECT_FALSE(reach.record(at(0ms), "a", false));
    EXPECT_FALSE(reach.isSuspected(at(0ms)));
    EXPECT_FALSE(reach.record(at(300ms), "b", false));
    EXPECT_TRUE(reach.isSuspected(at(300ms)));
    EXPECT_FALSE(reach.record(at(350ms), "c", false));
    EXPECT_FALSE(reach.isCutOff());
    EXPECT_TRUE(reach.record(at(650ms), "d", false));
    EXPECT_TRUE(reach.isCutOff());
    EXPECT_FALSE(reach.isSuspected(at(650ms)));
}

// A server that is tried again and again is one lost server.
TEST(ServerReach, OneServerThatFailsOftenIsNotCutOff)
{
    server_reach reach;
    reach.setServerCount(22);
    for (int i = 0; i < 20; ++i)
        reach.record(at(i * 10ms), "a", false);
    EXPECT_FALSE(reach.isCutOff());
    EXPECT_FALSE(reach.isSuspected(at(200ms)));
}

TEST(ServerReach, ASuccessEndsTheStateAndStartsTheCountAnew)
{
    server_reach reach;
    reach.setServerCount(22);
    for (const char *server : {"a", "b", "c", "d"})
        reach.record(at(0ms), server, false);
    ASSERT_TRUE(reach.isCutOff());
    EXPECT_TRUE(reach.record(at(12s), "e", true));
    EXPECT_FALSE(reach.isCutOff());
    for (const char *server : {"a", "b", "c"})
        reach.record(at(12100ms), server, false);
    EXPECT_FALSE(reach.isCutOff());
}

// Failures of servers that crashed one after the other, while the instance had no other calls.
TEST(ServerReach, FailuresFarApartDoNotAddUp)
{
    server_reach reach;
    reach.setServerCount(22);
    constexpr std::array<const char *, 6> servers {"a", "b", "c", "d", "e", "f"};
    for (std::size_t i = 0; i < servers.size(); ++i)
        reach.record(at(static_cast<int>(i) * 1s), servers[i], false);
    EXPECT_FALSE(reach.isCutOff());
}

// Nothing is heard for as long as the cut lasts, however few calls there are.
TEST(ServerReach, StaysCutOffUntilAConnectionSucceeds)
{
    server_reach reach;
    reach.setServerCount(3);
    for (const char *server : {"a", "b", "c"})
        reach.record(at(0ms), server, false);
    ASSERT_TRUE(reach.isCutOff());
    reach.record(at(30s), "a", false);
    EXPECT_TRUE(reach.isCutOff());
}

// A single server that fails is gone rather than out of reach.
TEST(ServerReach, TheOnlyServerDoesNotCutOff)
{
    server_reach reach;
    reach.setServerCount(1);
    reach.record(at(0ms), "a", false);
    EXPECT_FALSE(reach.isCutOff());
}

} // namespace trefoil
