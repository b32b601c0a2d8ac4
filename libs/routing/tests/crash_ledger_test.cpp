#include <routing/crash_ledger.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(CrashLedger, RefusesAfterTwoDifferentCrashes)
{
    const timestamp now {std::chrono::seconds(100)};
    const digest128 body = digestOf("a request");
    crash_ledger ledger;
    ledger.note(now, body, "w1/5");
    ledger.note(now, body, "w1/5");
    EXPECT_FALSE(ledger.isRefused(now, body));
    ledger.note(now, body, "w2/9");
    EXPECT_TRUE(ledger.isRefused(now, body));
    EXPECT_FALSE(ledger.isRefused(now, digestOf("another")));
    EXPECT_FALSE(ledger.isRefused(now + std::chrono::minutes(31), body));
}

} // namespace trefoil
