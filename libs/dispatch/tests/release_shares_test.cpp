#include <dispatch/release_shares.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr const char *service = "app";

struct move
{
    release_shares shares {{}};
    timestamp now;
    std::uint64_t next = 1;
    int onNew = 0;
    int all = 0;
    int bad = 0;

    move()
    {
        shares.setRequest(now, service,
                          rollout_request {.service = service,
                                           .release = "v2",
                                           .time = std::chrono::seconds(12)});
    }

    /// Serves @p count requests over @p time; the new release fails from @p badFrom seconds on.
    void serve(double seconds, int count, double badFrom)
    {
        for (int i = 0; i < count; ++i, now += fromSeconds(seconds / count)) {
            next = next * 6364136223846793005u + 1442695040888963407u;
            const bool takesNew = shares.allows(now, service, "v2", next);
            EXPECT_NE(takesNew, shares.allows(now, service, "v1", next));
            const bool fails = takesNew && toSeconds(now - timestamp {}) >= badFrom && i % 2 == 0;
            shares.note(service, takesNew ? "v2" : "v1", "r", fails, false);
            onNew += takesNew ? 1 : 0;
            bad += fails ? 1 : 0;
            ++all;
            shares.step(now);
        }
    }
};

} // namespace

TEST(ReleaseShares, AGoodReleaseIsDoneBeforeTheDeadline)
{
    move good;
    good.serve(12, 1200, 100);
    EXPECT_EQ(good.shares.stage(service), rollout_stage::Done);
    EXPECT_TRUE(good.shares.allows(good.now, service, "v2", 1));
    EXPECT_FALSE(good.shares.allows(good.now, service, "v1", 1));
}

TEST(ReleaseShares, ABadReleaseGetsLessThanATenthWheneverItTurnsBad)
{
    for (const double from : {0.0, 3.0, 8.0, 10.4}) {
        move bad;
        bad.serve(12, 1200, from);
        EXPECT_EQ(bad.shares.stage(service), rollout_stage::RolledBack) << from;
        EXPECT_LE(bad.onNew, bad.all / 10 + 50) << from;
        EXPECT_LE(bad.bad, 50) << from;
    }
}

TEST(ReleaseShares, WhatWasReportedBeforeARestartHolds)
{
    release_shares shares({});
    shares.setRequest({}, service,
                      rollout_request {.service = service,
                                       .release = "v2",
                                       .time = std::chrono::seconds(12),
                                       .reported = rollout_stage::RolledBack});
    EXPECT_FALSE(shares.allows({}, service, "v2", 1));
    EXPECT_TRUE(shares.allows({}, service, "v1", 1));
}

TEST(ReleaseShares, WithoutARequestAnyReleaseServes)
{
    release_shares shares({});
    EXPECT_TRUE(shares.allows({}, service, "v1", 1));
    EXPECT_TRUE(shares.allows({}, service, "v9", 1));
}

} // namespace trefoil
