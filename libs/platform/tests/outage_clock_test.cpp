#include <platform/outage_clock.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr timestamp start = timestamp {} + std::chrono::seconds(100);

} // namespace

TEST(OutageClock, WhatOneInstanceAloneMissesIsNoOutage)
{
    outage_clock clock;
    // The own reads fail for ten seconds; others hear the store all the while.
    clock.noteHeard(start);
    for (int i = 1; i <= 40; ++i)
        clock.noteHeard(start + std::chrono::milliseconds(250) * i);
    clock.noteHeard(start + std::chrono::seconds(10));
    EXPECT_EQ(clock.outageEnd(), timestamp {});
}

TEST(OutageClock, AnOutageEndsWhenAnyInstanceHearsTheStoreAgain)
{
    outage_clock clock;
    clock.noteHeard(start);
    const timestamp back = start + std::chrono::seconds(5);
    clock.noteHeard(back);
    // The own read hangs until later; a report may also come late.
    clock.noteHeard(back + std::chrono::milliseconds(1500));
    clock.noteHeard(back - std::chrono::seconds(1));
    EXPECT_EQ(clock.outageEnd(), back);
    EXPECT_EQ(clock.heardAt(), back + std::chrono::milliseconds(1500));
}

} // namespace trefoil
