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

// Each instance that restarted forgot which requests crash servers, and sent them again. Instances
// report to each other what they refuse, and are restarted one after the other.
TEST(CrashTracker, RefusedRequestIsNotForgottenInRollingRestarts)
{
    constexpr std::size_t instanceCount = 8;
    const digest128 crashing = digestOf("crashing");
    std::vector<crash_tracker> instances(instanceCount);
    timestamp now {std::chrono::seconds(100)};
    int crashes = 0;
    const auto exchangeReports = [&] {
        for (const crash_tracker &from : instances) {
            for (const refused_request &each : from.refusedRequests(now, 64)) {
                for (crash_tracker &to : instances)
                    to.adopt(now, each);
            }
        }
    };
    const auto callAll = [&] {
        for (crash_tracker &instance : instances) {
            if (instance.isRefused(now, crashing))
                continue;
            const std::string crash = "server@" + std::to_string(++crashes);
            // The instance tells the others of the crash once.
            for (crash_tracker &each : instances)
                each.recordCrash(now, crashing, crash);
        }
    };
    for (int round = 0; round < 3; ++round) {
        for (crash_tracker &restarted : instances) {
            callAll();
            restarted = {};
            now += std::chrono::seconds(1);
            exchangeReports();
        }
    }
    callAll();
    EXPECT_EQ(crashes, 2);
    // What is repeated in reports doesn't count as a new crash.
    now += std::chrono::minutes(31);
    EXPECT_FALSE(instances.front().isRefused(now, crashing));
    EXPECT_TRUE(instances.front().refusedRequests(now, 64).empty());
}

TEST(CrashTracker, OnlyTheNewestRefusedRequestsAreReported)
{
    crash_tracker tracker;
    timestamp now {std::chrono::seconds(100)};
    for (int i = 0; i < 100; ++i) {
        now += std::chrono::seconds(1);
        const digest128 request = digestOf(std::to_string(i));
        tracker.recordCrash(now, request, "a");
        if (i != 99)
            tracker.recordCrash(now, request, "b");
    }
    const std::vector<refused_request> refused = tracker.refusedRequests(now, 3);
    ASSERT_EQ(refused.size(), 3u);
    EXPECT_EQ(refused[0].request, digestOf("98"));
    EXPECT_EQ(refused[0].crashes.size(), 2u);
}

} // namespace trefoil
