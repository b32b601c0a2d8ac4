#include <platform/outage_detector.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr timestamp start = timestamp {} + std::chrono::seconds(100);

} // namespace

TEST(OutageDetector, StoreUnreachableFromOneInstanceIsNoOutage)
{
    outage_detector detector;
    // This instance's reads fail for ten seconds while other instances reach the store.
    detector.recordContact(start);
    for (int i = 1; i <= 40; ++i)
        detector.recordContact(start + std::chrono::milliseconds(250) * i);
    detector.recordContact(start + std::chrono::seconds(10));
    EXPECT_EQ(detector.outageEnd(), timestamp {});
}

TEST(OutageDetector, OutageEndsWhenAnyInstanceReachesTheStoreAgain)
{
    outage_detector detector;
    detector.recordContact(start);
    const timestamp back = start + std::chrono::seconds(5);
    detector.recordContact(back);
    // This instance's own read hangs until later, and a report from another one arrives late.
    detector.recordContact(back + std::chrono::milliseconds(1500));
    detector.recordContact(back - std::chrono::seconds(1));
    EXPECT_EQ(detector.outageEnd(), back);
    EXPECT_EQ(detector.lastContact(), back + std::chrono::milliseconds(1500));
}

} // namespace trefoil
