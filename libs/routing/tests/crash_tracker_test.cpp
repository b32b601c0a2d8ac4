#include <routing/crash_tracker.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(CrashTracker, RefusesAfterTwoDistinctCrashes)
{
    const timestamp now {std::chrono::seconds(100)};
    const digest128 requestDigest = digestOf("a request");
    crash_tracker tracker;
    tracker.recordCrash(now, requestDigest, "w1/5");
    tracker.recordCrash(now, requestDigest, "w1/5");
    EXPECT_FALSE(tracker.isRefused(now, requestDigest));
    tracker.recordCrash(now, requestDigest, "w2/9");
    EXPECT_TRUE(tracker.isRefused(now, requestDigest));
    EXPECT_FALSE(tracker.isRefused(now, digestOf("another")));
    EXPECT_FALSE(tracker.isRefused(now + std::chrono::minutes(31), requestDigest));
}

} // namespace trefoil
