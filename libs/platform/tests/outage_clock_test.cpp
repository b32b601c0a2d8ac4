#include <platform/outage_clock.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr timestamp start = timestamp {} + std::chrono::seconds(100);

} // namespace

TEST(OutageClock, StoreUnreachableFromOneInstanceIsNoOutage)
{
    outage_clock clock;
    // This instance's reads fail for ten seconds while other instances reach the store.
    clock.recordContact(start);
    for (int i = 1; i <= 40; ++i)
        clock.recordContact(start + std::chrono::milliseconds(250) * i);
    clock.recordContact(start + std::chrono::seconds(10));
    EXPECT_EQ(clock.outageEnd(), timestamp {});
}

TEST(OutageClock, OutageEndsWhenAnyInstanceReachesTheStoreAgain)
{
    outage_clock clock;
    clock.recordContact(start);
    const timestamp back = start + std::chrono::seconds(5);
    clock.recordContact(back);
    // This instance's own read hangs until later, and a report from another one arrives late.
    clock.recordContact(back + std::chrono::milliseconds(1500));
    clock.recordContact(back - std::chrono::seconds(1));
    EXPECT_EQ(clock.outageEnd(), back);
    EXPECT_EQ(clock.lastContact(), back + std::chrono::milliseconds(1500));
}

} // namespace trefoil
