#include <delivery/retry_budget.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(RetryBudget, LimitsRetriesToATenthOfTheRequests)
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.recordRequest();
        retries += budget.takeRetry() ? 1 : 0; // every request fails
    }
    EXPECT_GE(retries, 1000);
    EXPECT_LE(retries, 1000 + 3);
}

} // namespace trefoil
