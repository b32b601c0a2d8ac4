// Guards against placement by a moment: servers state a pace that changes many times a second, and
// one reading must neither direct the traffic nor stay in force when no more arrive.

#include <dispatch/server_pace.h>

#include <algorithm>
#include <cmath>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

timestamp recordEvery(server_pace &pace, timestamp now, duration interval, int count, double value)
{
    for (int i = 0; i < count; ++i) {
        now += interval;
        pace.record(now, value);
    }
    return now;
}

} // namespace

TEST(ServerPace, IsOneWithoutReadings)
{
    EXPECT_EQ(server_pace().factor(timestamp {} + 5s), 1);
    EXPECT_EQ(server_pace().pace(), 1);
}

TEST(ServerPace, OneReadingMovesTheFactorByLessThanHalfOfTheDifference)
{
    for (const double stated : {50.0, 250.0, 10000.0}) {
        server_pace pace;
        pace.record(timestamp {}, stated);
        const double bounded = std::clamp(stated / 100, 0.5, 4.0);
        EXPECT_LT(std::abs(pace.factor(timestamp {}) - 1), std::abs(bounded - 1) / 2) << stated;
        EXPECT_NE(pace.factor(timestamp {}), 1) << stated;
    }
}

TEST(ServerPace, FollowsReadingsThatAgree)
{
    server_pace pace;
    const timestamp now = recordEvery(pace, timestamp {}, 100ms, 20, 250);
    EXPECT_GT(pace.factor(now), 2);
    EXPECT_LE(pace.factor(now), 2.5);
}

TEST(ServerPace, ResponsesOfOneMomentCountOnce)
{
    server_pace steady;
    timestamp now = recordEvery(steady, timestamp {}, 100ms, 20, 100);
    server_pace once = steady;
    now += 100ms;
    once.record(now, 400);
    recordEvery(steady, now - 1ns, 1ns, 30, 400);
    EXPECT_NEAR(steady.factor(now), once.factor(now), 0.01);
}

TEST(ServerPace, ReturnsToOneAsReadingsAge)
{
    server_pace pace;
    const timestamp now = recordEvery(pace, timestamp {}, 100ms, 20, 250);
    double last = pace.factor(now);
    for (int seconds = 1; seconds <= 8; ++seconds) {
        const double next = pace.factor(now + std::chrono::seconds(seconds));
        EXPECT_LT(next, last);
        last = next;
    }
    EXPECT_NEAR(last, 1, 0.01);
}

TEST(ServerPace, AveragesReadingsThatChangeAtOnce)
{
    server_pace pace;
    timestamp now {};
    for (int i = 0; i < 20; ++i) {
        now += 50ms;
        pace.record(now, i % 2 == 0 ? 50 : 200);
    }
    for (int i = 0; i < 20; ++i) {
        now += 50ms;
        pace.record(now, i % 2 == 0 ? 50 : 200);
        EXPECT_NEAR(pace.factor(now), 1, 0.15);
    }
}

TEST(ServerPace, PaceThatIsIncludedInTheMeasurementsIsNotCountedAgain)
{
    server_pace pace;
    const timestamp now = recordEvery(pace, timestamp {}, 100ms, 20, 250);
    EXPECT_NEAR(pace.factor(now, 2.5), 1, 1e-9);
    EXPECT_LT(pace.factor(now, 4), 1);
}

TEST(ServerPace, IgnoresReadingsThatAreNotPositive)
{
    server_pace pace;
    for (const double invalid : {0.0, -100.0})
        pace.record(timestamp {}, invalid);
    EXPECT_EQ(pace.factor(timestamp {}), 1);
}

} // namespace trefoil
