#include <dispatch/release_shares.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr const char *service = "app";

struct rollout_simulation
{
    release_shares shares {{}};
    timestamp now;
    std::uint64_t randomBits = 1;
    int newCount = 0;
    int totalCount = 0;
    int failedCount = 0;

    rollout_simulation()
    {
        shares.setRequest(now, service,
                          rollout_request {.service = service,
                                           .release = "v2",
                                           .rampTime = std::chrono::seconds(12)});
    }

    /// Serves @p count requests over @p seconds. The new release fails half of its requests from
    /// @p failingFrom seconds on.
    void serve(double seconds, int count, double failingFrom)
    {
        for (int i = 0; i < count; ++i, now += fromSeconds(seconds / count)) {
            randomBits = randomBits * 6364136223846793005u + 1442695040888963407u;
            const bool takesNew = shares.allows(now, service, "v2", randomBits);
            EXPECT_NE(takesNew, shares.allows(now, service, "v1", randomBits));
            const bool fails =
                takesNew && toSeconds(now - timestamp {}) >= failingFrom && i % 2 == 0;
            shares.recordOutcome(service, takesNew ? "v2" : "v1", "r", fails, false);
            newCount += takesNew ? 1 : 0;
            failedCount += fails ? 1 : 0;
            ++totalCount;
            shares.step(now);
        }
    }
};

} // namespace

TEST(ReleaseShares, GoodReleaseIsDoneBeforeTheDeadline)
{
    rollout_simulation good;
    good.serve(12, 1200, 100);
    EXPECT_EQ(good.shares.stage(service), rollout_stage::Done);
    EXPECT_TRUE(good.shares.allows(good.now, service, "v2", 1));
    EXPECT_FALSE(good.shares.allows(good.now, service, "v1", 1));
}

TEST(ReleaseShares, BadReleaseIsRolledBackWheneverItStartsFailing)
{
    for (const double from : {0.0, 3.0, 8.0, 10.4}) {
        rollout_simulation bad;
        bad.serve(12, 1200, from);
        EXPECT_EQ(bad.shares.stage(service), rollout_stage::RolledBack) << from;
        EXPECT_LE(bad.newCount, bad.totalCount / 10 + 50) << from;
        EXPECT_LE(bad.failedCount, 50) << from;
    }
}

TEST(ReleaseShares, ReportedStageIsRestoredAfterARestart)
{
    release_shares shares({});
    shares.setRequest({}, service,
                      rollout_request {.service = service,
                                       .release = "v2",
                                       .rampTime = std::chrono::seconds(12),
                                       .reported = rollout_stage::RolledBack});
    EXPECT_FALSE(shares.allows({}, service, "v2", 1));
    EXPECT_TRUE(shares.allows({}, service, "v1", 1));
}

TEST(ReleaseShares, AllReleasesAreAllowedWithoutARequest)
{
    release_shares shares({});
    EXPECT_TRUE(shares.allows({}, service, "v1", 1));
    EXPECT_TRUE(shares.allows({}, service, "v9", 1));
}

} // namespace trefoil
