#include <dispatch/demand_growth.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr double size = 1;

} // namespace

// Guards against refusals of a small team: a few requests more than usual are chance.
TEST(DemandGrowth, GrowthOfFewRequestsIsNotCertain)
{
    EXPECT_EQ(certainGrowth(2, 6, size), 1);
    EXPECT_GT(certainGrowth(200, 600, size), 2);
    EXPECT_LT(certainGrowth(200, 600, size), 3);
    EXPECT_EQ(certainGrowth(600, 200, size), 1) << "a demand that falls doesn't lower the others";
    EXPECT_EQ(certainGrowth(1, 1e6, size), 8);
    EXPECT_EQ(certainGrowth(0, 0, size), 1);
}

// Six instances with callers, of which this one hears the others late: its own jump is taken for
// that of all.
TEST(DemandGrowth, DemandOfLateInstancesGrowsLikeTheKnownOne)
{
    demand_estimate estimate(100, size);
    estimate.setOwn(100, 700);
    for (int i = 0; i < 5; ++i)
        estimate.addLate(100);
    EXPECT_GT(estimate.certain(), 2500);
    EXPECT_LT(estimate.certain(), 4200);
}

// Callers move from 81 instances to six: the demand here is a multiple of what it was, that of the
// instances heard without delay has fallen.
TEST(DemandGrowth, CallersThatMoveHereAreNotTakenForGrowth)
{
    demand_estimate estimate(10, size);
    estimate.setOwn(10, 130);
    for (int i = 0; i < 40; ++i)
        estimate.addKnown(10, 8);
    for (int i = 0; i < 40; ++i)
        estimate.addLate(10);
    EXPECT_LE(estimate.certain(), 130 + 40 * 8 + 40 * 10);
}

// Callers move from six instances to 81, and the six are heard late: instances that had no demand
// say nothing about the others.
TEST(DemandGrowth, InstancesWithoutEarlierDemandDoNotTellTheGrowthOfOthers)
{
    demand_estimate estimate(130, size);
    estimate.setOwn(0, 8);
    estimate.addKnown(1, 8);
    for (int i = 0; i < 6; ++i)
        estimate.addLate(130);
    EXPECT_LE(estimate.certain(), 6 * 130 + 2 * 8);
    EXPECT_GE(estimate.certain(), 0.9 * (6 * 130 + 2 * 8));
}

// An instance of a small team gets 5 requests in the time of the average. A jump to 20 says little
// beside what it had itself, but much beside what each of all had.
TEST(DemandGrowth, GrowthIsComparedWithTheUsualDemandOfAll)
{
    demand_estimate jumped(5, size);
    jumped.setOwn(4, 20);
    demand_estimate steady(5, size);
    steady.setOwn(3, 7);
    for (demand_estimate *each : {&jumped, &steady}) {
        for (int i = 0; i < 5; ++i)
            each->addLate(5);
    }
    EXPECT_GT(jumped.certain(), 50);
    EXPECT_LT(steady.certain(), 32);
}

TEST(DemandGrowth, TeamWithoutDemandHasNone)
{
    EXPECT_EQ(demand_estimate(0, size).certain(), 0);
    demand_estimate started(0, size);
    started.setOwn(0, 9);
    EXPECT_GE(started.certain(), 0);
    EXPECT_LE(started.certain(), 9);
}

} // namespace trefoil
