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
            shares.recordOutcome(service, takesNew ? "v2" : "v1", "r",
                                 {.requests = 1, .failures = fails ? 1u : 0u, .timed = 1});
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

// A release that answered three times slower was rolled out: callers left before its answers, and
// only answers were counted.
TEST(ReleaseShares, SlowReleaseIsRolledBackThoughItsCallersLeaveUnanswered)
{
    for (const std::uint64_t slowOfTen : {10, 5}) {
        rollout_simulation slow;
        std::uint64_t newRequests = 0;
        for (int i = 0; i < 1200; ++i, slow.now += std::chrono::milliseconds(10)) {
            slow.randomBits = slow.randomBits * 6364136223846793005u + 1442695040888963407u;
            const bool takesNew = slow.shares.allows(slow.now, service, "v2", slow.randomBits);
            const bool isSlow = takesNew ? newRequests % 10 < slowOfTen : i % 20 == 0;
            newRequests += takesNew ? 1 : 0;
            slow.shares.recordOutcome(service, takesNew ? "v2" : "v1", "r",
                                      {.slow = isSlow ? 1u : 0u, .timed = 1});
            slow.shares.step(slow.now);
        }
        EXPECT_EQ(slow.shares.stage(service), rollout_stage::RolledBack);
        EXPECT_LE(newRequests, 1200u / 10);
    }
}

TEST(ReleaseShares, ReleaseWithoutEvidenceGetsNoMoreTraffic)
{
    rollout_simulation unknown;
    for (int i = 0; i < 1500; ++i, unknown.now += std::chrono::milliseconds(10)) {
        // Requests end, but nothing is known of how long the new release takes.
        unknown.shares.recordOutcome(service, "v2", "r", {.requests = 1});
        unknown.shares.recordOutcome(service, "v1", "r", {.requests = 1, .timed = 1});
        unknown.shares.step(unknown.now);
    }
    EXPECT_EQ(unknown.shares.stage(service), rollout_stage::Moving);
    constexpr std::uint64_t midRange = std::uint64_t {1} << 63;
    EXPECT_FALSE(unknown.shares.allows(unknown.now, service, "v2", midRange));
}

TEST(ReleaseShares, ReleaseThatBecomesSlowAtTheEndIsNotDone)
{
    rollout_simulation late;
    late.serve(10.5, 1050, 100);
    for (int i = 0; i < 80; ++i, late.now += std::chrono::milliseconds(10)) {
        late.shares.recordOutcome(service, "v2", "r", {.slow = i > 65 ? 1u : 0u, .timed = 1});
        late.shares.step(late.now);
    }
    for (int i = 0; i < 60; ++i, late.now += std::chrono::milliseconds(10)) {
        late.shares.recordOutcome(service, "v2", "r", {.slow = 1, .timed = 1});
        late.shares.step(late.now);
    }
    EXPECT_EQ(late.shares.stage(service), rollout_stage::RolledBack);
}

TEST(ReleaseShares, RouteWithLittleTrafficIsComparedWithAllRoutes)
{
    rollout_simulation noisy;
    // One in ten requests fails, whatever the release.
    for (int i = 0; i < 200; ++i)
        noisy.shares.recordOutcome(service, "v1", "r",
                                   {.requests = 1, .failures = i % 10 == 0 ? 1u : 0u});
    for (int i = 0; i < 40; ++i)
        noisy.shares.recordOutcome(service, "v2", "rare",
                                   {.requests = 1, .failures = i % 8 == 0 ? 1u : 0u});
    noisy.shares.step(noisy.now);
    EXPECT_EQ(noisy.shares.stage(service), rollout_stage::Moving);
}

TEST(ReleaseShares, LimitsComeFromReleasesThatAreNotBeingTested)
{
    rollout_simulation measured;
    for (int i = 0; i < 30; ++i) {
        measured.shares.recordTimes(service, "v1", "r",
                                    {.firstEvent = std::chrono::milliseconds(200)});
        measured.shares.recordTimes(service, "v2", "r", {.firstEvent = std::chrono::seconds(2)});
    }
    ASSERT_TRUE(measured.shares.limits(service, "r"));
    EXPECT_EQ(measured.shares.limits(service, "r")->firstEvent, std::chrono::milliseconds(250));
    EXPECT_FALSE(measured.shares.limits(service, "other"));
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

// All requests went to a release while it was on the way to being found bad.
TEST(ReleaseShares, SuspectReleaseDoesNotGetAllTraffic)
{
    rollout_simulation suspect;
    suspect.serve(10.2, 1020, 100);
    for (int i = 0; i < 2; ++i)
        suspect.shares.recordOutcome(service, "v2", "r", {.requests = 1, .failures = 1});
    const timestamp moveTime = timestamp {} + std::chrono::milliseconds(10400);
    suspect.shares.step(moveTime);
    ASSERT_EQ(suspect.shares.stage(service), rollout_stage::Moving);
    constexpr std::uint64_t midRange = std::uint64_t {1} << 63;
    EXPECT_FALSE(suspect.shares.allows(moveTime, service, "v2", midRange));
}

// A release that had been rolled back counted as the previous one when the next was rolled out.
TEST(ReleaseShares, BadReleaseGetsNoRequestsWhileTheNextOneIsRolledOut)
{
    rollout_simulation bad;
    bad.serve(4, 400, 0);
    ASSERT_EQ(bad.shares.stage(service), rollout_stage::RolledBack);
    bad.shares.setRequest(bad.now, service,
                          rollout_request {.service = service,
                                           .release = "v3",
                                           .rampTime = std::chrono::seconds(12)});
    constexpr std::uint64_t midRange = std::uint64_t {1} << 63;
    EXPECT_FALSE(bad.shares.allows(bad.now, service, "v2", midRange));
    EXPECT_TRUE(bad.shares.allows(bad.now, service, "v1", midRange));
}

// An instance that had restarted, and didn't find the status in the store, tried the release again.
TEST(ReleaseShares, BadReleaseFoundByAnotherInstanceGetsNoRequests)
{
    const timestamp start {};
    const rollout_request request {
        .service = service, .release = "v2", .rampTime = std::chrono::seconds(12)};
    for (const bool isReportedFirst : {true, false}) {
        release_shares shares({});
        if (!isReportedFirst)
            shares.setRequest(start, service, request);
        EXPECT_TRUE(shares.addBadRelease({.service = service, .release = "v2", .foundAt = start}));
        if (isReportedFirst)
            shares.setRequest(start, service, request);
        EXPECT_EQ(shares.stage(service), rollout_stage::RolledBack);
        EXPECT_FALSE(shares.allows(start, service, "v2", 0));
        EXPECT_FALSE(shares.addBadRelease({.service = service, .release = "v2", .foundAt = start}));
        EXPECT_EQ(shares.badReleases().size(), 1U);
    }
}

TEST(ReleaseShares, BadReleaseIsTriedAgainWhenRequestedAgain)
{
    rollout_simulation bad;
    bad.serve(4, 400, 0);
    const timestamp foundAt = bad.shares.badReleases().at(0).foundAt;
    const rollout_request again {
        .service = service, .release = "v2", .rampTime = std::chrono::seconds(12)};
    rollout_request other = again;
    other.release = "v3";
    bad.shares.setRequest(bad.now, service, other);
    bad.shares.setRequest(bad.now, service, again);
    EXPECT_EQ(bad.shares.stage(service), rollout_stage::Moving);
    // An instance that has not seen the request yet reports what it knew before.
    EXPECT_FALSE(
        bad.shares.addBadRelease({.service = service, .release = "v2", .foundAt = foundAt}));
    EXPECT_TRUE(bad.shares.allows(bad.now, service, "v2", 0));
}

TEST(ReleaseShares, AllReleasesAreAllowedWithoutARequest)
{
    release_shares shares({});
    EXPECT_TRUE(shares.allows({}, service, "v1", 1));
    EXPECT_TRUE(shares.allows({}, service, "v9", 1));
}

} // namespace trefoil
