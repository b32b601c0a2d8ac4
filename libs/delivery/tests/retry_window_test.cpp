#include <delivery/retry_window.h>

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

TEST(RetryWindow, NoSpanHoldsMoreRetriesThanItsShareOfTheRequests)
{
    const retry_window_options options {.retriesPerRequest = 0.2, .extra = 5};
    retry_window window(options);
    std::vector<timestamp> requests;
    std::vector<timestamp> retries;
    for (int i = 0; i < 4000; ++i) {
        const timestamp now = timestamp {} + std::chrono::milliseconds(10) * i;
        requests.push_back(now);
        window.noteRequest(now);
        // A pool that rejects everything for a second, three times.
        const bool isRejecting = i % 1300 > 1200;
        while (isRejecting && window.takeRetry(now))
            retries.push_back(now);
    }
    for (const timestamp end : requests) {
        const auto inSpan = [&](timestamp each) {
            return each <= end && end - each <= options.length;
        };
        const auto asked = std::count_if(requests.begin(), requests.end(), inSpan);
        const auto again = std::count_if(retries.begin(), retries.end(), inSpan);
        EXPECT_LE(static_cast<double>(again), 0.2 * static_cast<double>(asked) + 5);
    }
    EXPECT_GT(retries.size(), 300u);
}

TEST(RetryWindow, WhatTheSpanEarnedMayBeSpentAtOnce)
{
    retry_window window({.retriesPerRequest = 0.2, .extra = 0});
    timestamp now {};
    for (int i = 0; i < 100; ++i)
        window.noteRequest(now);
    int taken = 0;
    while (window.takeRetry(now))
        ++taken;
    EXPECT_EQ(taken, 20);
    now += std::chrono::seconds(11);
    EXPECT_FALSE(window.takeRetry(now));
}

TEST(RetryWindow, AFleetOfAnySizeSharesTheExtraRetries)
{
    constexpr double allowed = 202;
    for (const int instances : {1, 8, 81, 330}) {
        int taken = 0;
        for (int i = 0; i < instances; ++i) {
            retry_window window({.retriesPerRequest = 0, .extra = allowed});
            window.setExtra(allowed / instances);
            while (window.takeRetry({}))
                ++taken;
        }
        EXPECT_LE(taken, allowed) << instances;
    }
}

} // namespace trefoil
