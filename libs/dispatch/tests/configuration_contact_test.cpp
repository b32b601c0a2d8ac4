#include <dispatch/configuration_contact.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

const timestamp start = timestamp {} + 1h;

} // namespace

TEST(ConfigurationContact, AnswerOfTheStoreConfirmsForAWhile)
{
    configuration_contact contact({.maxSilence = 3s});
    EXPECT_FALSE(contact.isConfirmed(start, 4));
    contact.recordStoreAnswer(start);
    EXPECT_TRUE(contact.isConfirmed(start + 3s, 4));
    EXPECT_FALSE(contact.isConfirmed(start + 3001ms, 4));
}

TEST(ConfigurationContact, InstanceThatHasTheStoreConfirmsForOneThatHasNot)
{
    configuration_contact contact({.maxSilence = 3s});
    contact.recordReport(start + 10s, {.instance = "edge-2", .confirmedAgo = 1s});
    EXPECT_TRUE(contact.isConfirmed(start + 11s, 80));
    EXPECT_FALSE(contact.isConfirmed(start + 13s, 80));
}

// A store that is down for all can't acknowledge a change.
TEST(ConfigurationContact, OutageSeenByTheMajorityLeavesTheConfigurationConfirmed)
{
    configuration_contact contact({.maxSilence = 3s});
    contact.recordReport(start + 10s, {.instance = "edge-2", .confirmedAgo = 10s});
    contact.recordReport(start + 10s, {.instance = "edge-3", .confirmedAgo = 10s});
    EXPECT_TRUE(contact.isConfirmed(start + 11s, 3));
    EXPECT_FALSE(contact.isConfirmed(start + 11s, 4));
}

TEST(ConfigurationContact, InstanceCutOffFromStoreAndOthersIsNotConfirmed)
{
    configuration_contact contact({.maxSilence = 3s});
    contact.recordStoreAnswer(start);
    for (const char *other : {"edge-2", "edge-3", "edge-4"})
        contact.recordReport(start, {.instance = other, .confirmedAgo = 0s});
    EXPECT_TRUE(contact.isConfirmed(start + 2s, 3));
    EXPECT_FALSE(contact.isConfirmed(start + 4s, 3));
}

TEST(ConfigurationContact, NewerConfigurationElsewhereIsToleratedBriefly)
{
    configuration_contact contact({.maxSilence = 3s, .maxTimeBehind = 1s});
    contact.recordStoreAnswer(start + 5s);
    contact.setBehindSince(start + 4s);
    EXPECT_TRUE(contact.isConfirmed(start + 5s, 4));
    EXPECT_FALSE(contact.isConfirmed(start + 5001ms, 4));
    contact.setBehindSince(std::nullopt);
    EXPECT_TRUE(contact.isConfirmed(start + 6s, 4));
}

// All instances had lost the store and heard each other; 404 followed for a route that the store
// had confirmed since its return.
TEST(ConfigurationContact, ContactAmongInstancesIsNoGroundForAFinalRefusal)
{
    configuration_contact contact({.maxSilence = 3s, .applyTime = 2s});
    contact.recordStoreAnswer(start);
    contact.recordReport(start + 9s, {.instance = "edge-2", .confirmedAgo = 9s});
    contact.recordReport(start + 9s, {.instance = "edge-3"});
    EXPECT_TRUE(contact.isConfirmed(start + 9s, 2));
    EXPECT_TRUE(contact.isCurrent(start + 2s));
    EXPECT_FALSE(contact.isCurrent(start + 9s));
    contact.recordReport(start + 10s, {.instance = "edge-2", .confirmedAgo = 1s});
    EXPECT_TRUE(contact.isCurrent(start + 10s));
}

TEST(ConfigurationContact, ConfirmationOfANewerConfigurationIsNotPassedOn)
{
    configuration_contact contact({.maxSilence = 3s});
    EXPECT_FALSE(contact.confirmationForOthers());
    contact.recordStoreAnswer(start);
    EXPECT_EQ(contact.confirmationForOthers(), start);
    contact.setBehindSince(start + 1s);
    contact.recordReport(start + 1s, {.instance = "edge-2", .confirmedAgo = 0s});
    EXPECT_FALSE(contact.isCurrent(start + 1s));
    EXPECT_FALSE(contact.confirmationForOthers());
    contact.setBehindSince(std::nullopt);
    EXPECT_EQ(contact.confirmationForOthers(), start + 1s);
}

// A report that had waited for seconds on a full link confirmed the configuration as of its
// arrival, and 404 followed for a route that was added meanwhile.
TEST(ConfigurationContact, LateReportConfirmsAsOfWhenItWasWritten)
{
    configuration_contact contact({.maxSilence = 3s, .applyTime = 2s});
    const auto report = [&contact](timestamp arrival, std::uint64_t incarnation, duration uptime) {
        contact.recordReport(arrival,
                             {.instance = "edge-2",
                              .incarnation = incarnation,
                              .uptime = uptime,
                              .confirmedAgo = 100ms});
    };
    report(start, 1, 10s);
    EXPECT_EQ(contact.confirmedAt(), start - 100ms);
    report(start + 4s, 1, 11s);
    EXPECT_EQ(contact.confirmedAt(), start + 900ms);
    EXPECT_FALSE(contact.isCurrent(start + 4s));
    report(start + 4s, 1, 14s);
    EXPECT_TRUE(contact.isCurrent(start + 4s));
    // A restart begins a new uptime.
    report(start + 9s, 2, 1s);
    EXPECT_EQ(contact.confirmedAt(), start + 8900ms);
}

} // namespace trefoil
