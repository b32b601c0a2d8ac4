#include <delivery/windowed_retry_budget.h>

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

TEST(WindowedRetryBudget, LimitsRetriesInEveryWindow)
{
    const windowed_retry_budget_options options {.retriesPerRequest = 0.2, .extraRetries = 5};
    windowed_retry_budget budget(options);
    std::vector<timestamp> requests;
    std::vector<timestamp> retries;
    for (int i = 0; i < 4000; ++i) {
        const timestamp now = timestamp {} + std::chrono::milliseconds(10) * i;
        requests.push_back(now);
        budget.recordRequest(now);
        // Three times, the pool rejects every request for a second.
        const bool isRejecting = i % 1300 > 1200;
        while (isRejecting && budget.takeRetry(now))
            retries.push_back(now);
    }
    for (const timestamp end : requests) {
        const auto isInWindow = [&](timestamp each) {
            return each <= end && end - each <= options.length;
        };
        const auto requestsInWindow = std::count_if(requests.begin(), requests.end(), isInWindow);
        const auto retriesInWindow = std::count_if(retries.begin(), retries.end(), isInWindow);
        EXPECT_LE(static_cast<double>(retriesInWindow),
                  0.2 * static_cast<double>(requestsInWindow) + 5);
    }
    EXPECT_GT(retries.size(), 300u);
}

TEST(WindowedRetryBudget, AllowsAllRetriesOfAWindowAtOnce)
{
    windowed_retry_budget budget({.retriesPerRequest = 0.2, .extraRetries = 0});
    timestamp now {};
    for (int i = 0; i < 100; ++i)
        budget.recordRequest(now);
    int taken = 0;
    while (budget.takeRetry(now))
        ++taken;
    EXPECT_EQ(taken, 20);
    now += std::chrono::seconds(11);
    EXPECT_FALSE(budget.takeRetry(now));
}

TEST(WindowedRetryBudget, InstancesShareTheExtraRetries)
{
    constexpr double allowed = 202;
    for (const int instances : {1, 8, 81, 330}) {
        int taken = 0;
        for (int i = 0; i < instances; ++i) {
            windowed_retry_budget budget({.retriesPerRequest = 0, .extraRetries = allowed});
            budget.setExtraRetries(allowed / instances);
            while (budget.takeRetry({}))
                ++taken;
        }
        EXPECT_LE(taken, allowed) << instances;
    }
}

} // namespace trefoil
