#include <platform/catch_up.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

constexpr timestamp start = timestamp {} + 100s;

} // namespace

// Each change that a report told of before the watch did was fetched once more from an instance.
TEST(CatchUp, ChangeThatArrivesByItselfIsNotFetched)
{
    catch_up state({.patience = 350ms});
    state.onNewerReported(start, 7);
    EXPECT_TRUE(state.isBehind(6));
    EXPECT_EQ(state.next(start + 100ms, 6, {.startedAt = start - 1s}), catch_up_step::None);
    EXPECT_FALSE(state.isBehind(7));
    EXPECT_EQ(state.next(start + 400ms, 7, {.startedAt = start - 1s}), catch_up_step::None);
    EXPECT_FALSE(state.since());
}

// A read whose answer was lost went on for seconds although others had reported the change.
TEST(CatchUp, WaitingReadIsRepeatedBeforeACopyIsFetched)
{
    catch_up state({.patience = 350ms});
    state.onNewerReported(start, 7);
    EXPECT_EQ(state.next(start + 349ms, 6, {.startedAt = start - 1s}), catch_up_step::None);
    EXPECT_EQ(state.next(start + 350ms, 6, {.startedAt = start - 1s}), catch_up_step::ReadAgain);
    const read_progress repeated {.startedAt = start + 360ms};
    EXPECT_EQ(state.next(start + 500ms, 6, repeated), catch_up_step::None);
    EXPECT_EQ(state.next(start + 710ms, 6, repeated), catch_up_step::FetchCopy);
    EXPECT_EQ(state.next(start + 720ms, 6, repeated), catch_up_step::None);
    state.onNewerReported(start + 900ms, 7);
    EXPECT_TRUE(state.isBehind(6));
}

// A read that was connecting when it was given up went on for more than a second, and nothing else
// was tried meanwhile.
TEST(CatchUp, CopyIsFetchedIfTheReadThatIsGivenUpDoesNotEnd)
{
    catch_up state({.patience = 350ms});
    state.onNewerReported(start, 7);
    const read_progress connecting {.startedAt = start - 10ms};
    EXPECT_EQ(state.next(start + 350ms, 6, connecting), catch_up_step::ReadAgain);
    EXPECT_EQ(state.next(start + 600ms, 6, connecting), catch_up_step::ReadAgain);
    EXPECT_EQ(state.next(start + 700ms, 6, connecting), catch_up_step::FetchCopy);
    state.onNewerReported(start + 800ms, 8);
    EXPECT_EQ(state.next(start + 1150ms, 7, {.startedAt = start + 720ms}),
              catch_up_step::ReadAgain);
}

// Copies over the links of small instances were fetched beside the answers that were arriving.
TEST(CatchUp, NothingIsFetchedBesideAnAnswerThatIsArriving)
{
    catch_up state({.patience = 350ms});
    state.onNewerReported(start, 7);
    EXPECT_EQ(state.next(start + 5s, 6, {.startedAt = start - 1s, .isWaiting = false}),
              catch_up_step::None);
}

// A change that was reported during a pause made the next read a more expensive one.
TEST(CatchUp, PauseBetweenTwoReadsIsNotCutShort)
{
    catch_up state({.patience = 350ms});
    state.onNewerReported(start, 7);
    EXPECT_EQ(state.next(start + 600ms, 6, {.startedAt = start - 1s, .isWaiting = false}),
              catch_up_step::None);
    EXPECT_EQ(state.next(start + 700ms, 6, {.startedAt = start + 650ms}), catch_up_step::None);
    EXPECT_EQ(state.next(start + 710ms, 7, {.startedAt = start + 650ms, .isWaiting = false}),
              catch_up_step::None);
    EXPECT_FALSE(state.since());
}

TEST(CatchUp, CopyIsFetchedAtOnceIfTheStoreIsAway)
{
    catch_up state({.patience = 350ms});
    state.onNewerReported(start, 7);
    EXPECT_EQ(state.next(start + 350ms, 6, {.startedAt = start, .isStoreReachable = false}),
              catch_up_step::FetchCopy);
}

TEST(CatchUp, WhatTheStoreDoesNotTellIsFetchedFromTheInstance)
{
    catch_up state({.patience = 350ms});
    state.onCopyNeeded(start);
    EXPECT_TRUE(state.isBehind(9));
    EXPECT_EQ(state.next(start + 350ms, 9, {.startedAt = start, .isWaiting = false}),
              catch_up_step::FetchCopy);
    EXPECT_FALSE(state.isBehind(9));
}

} // namespace trefoil
