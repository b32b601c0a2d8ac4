#include <http/connection_reserve.h>

#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

using namespace std::chrono_literals;

TEST(ConnectionReserve, IdleConnectionsAreKeptWhileThereIsRoom)
{
    connection_reserve reserve({.maxConnections = 100, .reservedShare = 0.2});
    reserve.update(80, 0);
    EXPECT_TRUE(reserve.mayKeep(30s));
}

TEST(ConnectionReserve, AsManyIdleConnectionsAreClosedAsAreInTheWay)
{
    connection_reserve reserve({.maxConnections = 100, .reservedShare = 0.2});
    reserve.update(90, 5);
    EXPECT_TRUE(reserve.mayKeep(900ms));
    int closed = 0;
    for (int i = 0; i < 90; ++i)
        closed += reserve.mayKeep(2s) ? 0 : 1;
    EXPECT_EQ(closed, 15);
}

// Callers that give up and come back on new connections: kept ones of callers that have left held
// all threads, and 4,758 requests were not read before their deadline.
TEST(ConnectionReserve, NewConnectionsOfCallersThatComeBackDoNotWaitForIdleTimeouts)
{
    constexpr int maxConnections = 700;
    constexpr duration idleTimeout = 20s;
    constexpr duration step = 50ms;
    connection_reserve reserve({.maxConnections = maxConnections});
    std::vector<duration> idleTimes;
    int waiting = 0;
    int mostWaiting = 0;
    for (duration time {}; time < 30s; time += step) {
        waiting += 4; // 80 new connections a second
        for (; waiting > 0 && idleTimes.size() < maxConnections; --waiting)
            idleTimes.push_back({});
        mostWaiting = std::max(mostWaiting, waiting);
        reserve.update(static_cast<int>(idleTimes.size()), waiting);
        for (duration &each : idleTimes)
            each += step;
        // Each connection looks once a second.
        std::erase_if(idleTimes, [&](duration idle) {
            return idle >= idleTimeout || (idle % 1s < step && !reserve.mayKeep(idle));
        });
    }
    EXPECT_EQ(mostWaiting, 0);
}

// All threads of a large instance were taken while its processor was idle: 12,393 connections were
// reset, because only the scheduling delay sent callers to other instances.
TEST(ConnectionReserve, WaitingTimeGrowsUntilNoConnectionWaits)
{
    connection_reserve reserve({.maxConnections = 100});
    timestamp now {};
    EXPECT_EQ(reserve.recordWaiting(now, 0), 0ms);
    for (int i = 0; i < 4; ++i, now += 50ms)
        EXPECT_EQ(reserve.recordWaiting(now, 1 + i), i * 50ms);
    EXPECT_EQ(reserve.recordWaiting(now, 0), 0ms);
    EXPECT_EQ(reserve.recordWaiting(now + 50ms, 3), 0ms);
}

} // namespace trefoil
