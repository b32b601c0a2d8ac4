#include <dispatch/unheard_admissions.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

timestamp at(double seconds) { return timestamp {} + fromSeconds(seconds); }

} // namespace

TEST(UnheardAdmissions, SumsTheUnitsAdmittedSinceATime)
{
    unheard_admissions admissions;
    EXPECT_EQ(admissions.since(at(0)), 0);
    admissions.add(at(1), 100);
    admissions.add(at(1.5), 20);
    admissions.add(at(2), 3);
    EXPECT_EQ(admissions.since(at(0)), 123);
    EXPECT_EQ(admissions.since(at(1.4)), 23);
    EXPECT_EQ(admissions.since(at(2.1)), 0);
}

// Guards against growth with the age of the process.
TEST(UnheardAdmissions, ForgetsUnitsAfterTheLongestTime)
{
    unheard_admissions admissions;
    admissions.add(at(1), 100);
    admissions.add(at(1.1) + unheard_admissions::maxTime, 20);
    EXPECT_EQ(admissions.since(at(0)), 20);
}

// A refund booked at the present hid what had been admitted just before, and the instance admitted
// as much again.
TEST(UnheardAdmissions, RefundReducesTheUnitsOfItsAdmission)
{
    unheard_admissions admissions;
    admissions.add(at(1), 100);
    admissions.add(at(2), 30);
    admissions.add(at(1), -100);
    EXPECT_EQ(admissions.since(at(1.9)), 30);
    EXPECT_EQ(admissions.since(at(0)), 30);
    admissions.add(at(0.5), -70);
    EXPECT_EQ(admissions.since(at(0)), 30) << "the admission is not kept";
}

TEST(UnheardAdmissions, TellsWhatWasKnownAtATime)
{
    unheard_admissions admissions;
    EXPECT_EQ(admissions.knownAt(at(1)).ownDemand, 0);
    admissions.keep(at(1), {.ownDemand = 10});
    admissions.keep(at(1.05), {.ownDemand = 15});
    admissions.keep(at(1.2), {.ownDemand = 20});
    EXPECT_EQ(admissions.knownAt(at(0.5)).ownDemand, 10) << "the oldest";
    EXPECT_EQ(admissions.knownAt(at(1.1)).ownDemand, 10);
    EXPECT_EQ(admissions.knownAt(at(1.3)).ownDemand, 20);
    admissions.keep(at(2) + unheard_admissions::maxTime, {.ownDemand = 30});
    EXPECT_EQ(admissions.knownAt(at(1.1)).ownDemand, 30) << "older ones are no longer kept";
}

} // namespace trefoil
