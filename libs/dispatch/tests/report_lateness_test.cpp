#include <dispatch/report_lateness.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

const timestamp start = timestamp {} + 1h;

} // namespace

TEST(ReportLateness, IsTheDelayBeyondTheMostPunctualReport)
{
    report_lateness lateness;
    lateness.record(start, 10s);
    EXPECT_EQ(lateness.last(), 0s);
    lateness.record(start + 1s, 10900ms);
    EXPECT_EQ(lateness.last(), 100ms);
    lateness.record(start + 2s, 12200ms);
    EXPECT_EQ(lateness.last(), 0s);
    lateness.record(start + 5s, 12300ms);
    EXPECT_EQ(lateness.last(), 2900ms);
}

// The clock of the sender loses 50 ms a minute.
TEST(ReportLateness, DriftOfTheClocksIsNotLateness)
{
    report_lateness lateness;
    for (int second = 0; second < 3 * 3600; ++second) {
        const duration now = second * 1s;
        lateness.record(start + now, now - now / 1200);
        ASSERT_LT(lateness.last(), 60ms) << second;
    }
    EXPECT_GT(lateness.last(), 0ms);
}

} // namespace trefoil
