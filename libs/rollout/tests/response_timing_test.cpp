#include <rollout/response_timing.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

constexpr timestamp start = timestamp {} + 100s;
constexpr response_limits limits {.firstEvent = 300ms, .betweenEvents = 40ms};

} // namespace

// A release that answered nobody had no slow responses, since only answers were measured.
TEST(ResponseTimer, UnansweredRequestIsSlowAsSoonAsItsLimitHasPassed)
{
    const response_timer timer(start, limits);
    EXPECT_EQ(timer.speed(start + 300ms), response_speed::Unknown);
    EXPECT_EQ(timer.speed(start + 301ms), response_speed::Slow);
    EXPECT_FALSE(timer.times());
}

TEST(ResponseTimer, StreamIsSlowIfItsEventsAre)
{
    for (const duration pause : {duration(30ms), duration(50ms)}) {
        response_timer timer(start, limits);
        timestamp now = start + 200ms;
        for (int i = 0; i < 8; ++i, now += pause)
            timer.onEvents(now, 1);
        EXPECT_EQ(timer.speed(now),
                  pause > *limits.betweenEvents ? response_speed::Slow : response_speed::OnTime);
        ASSERT_TRUE(timer.times());
        EXPECT_EQ(timer.times()->betweenEvents, pause);
    }
}

TEST(ResponseTimer, StreamThatStopsAfterItsFirstEventIsSlow)
{
    response_timer timer(start, limits);
    timer.onEvents(start + 100ms, 1);
    EXPECT_EQ(timer.speed(start + 200ms), response_speed::Unknown);
    EXPECT_EQ(timer.speed(start + 500ms), response_speed::Slow);
}

TEST(ResponseTimer, BufferedResponseAndShortStreamAreJudgedByTheirFirstEvent)
{
    response_timer timer(start, limits);
    timer.onEvents(start + 250ms, 1);
    timer.onComplete();
    EXPECT_EQ(timer.speed(start + 250ms), response_speed::OnTime);
    EXPECT_EQ(timer.times()->firstEvent, 250ms);
    EXPECT_FALSE(timer.times()->betweenEvents);
    EXPECT_EQ(response_timer(start, std::nullopt).speed(start + 1h), response_speed::Unknown);
}

TEST(ResponseBaseline, LimitsFollowNineInTenOfTheLatestResponses)
{
    response_baseline baseline;
    for (int i = 0; i < 19; ++i)
        baseline.add({.firstEvent = 100ms, .betweenEvents = 20ms});
    EXPECT_FALSE(baseline.limits());
    for (int i = 0; i < 109; ++i)
        baseline.add({.firstEvent = 400ms, .betweenEvents = 40ms});
    ASSERT_TRUE(baseline.limits());
    EXPECT_EQ(baseline.limits()->firstEvent, 500ms);
    EXPECT_EQ(baseline.limits()->betweenEvents, 50ms);
    for (int i = 0; i < 128; ++i)
        baseline.add({.firstEvent = 20ms});
    EXPECT_EQ(baseline.limits()->firstEvent, 70ms);
    EXPECT_EQ(raisedFor(80ms, *baseline.limits()).firstEvent, 100ms);
    EXPECT_EQ(raisedFor(10ms, *baseline.limits()).firstEvent, 70ms);
}

} // namespace trefoil
