#include <dispatch/member_table.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

member_entry entryOf(const char *name, const char *zone, std::uint16_t port)
{
    return {.name = name,
            .zone = zone,
            .callers = {.host = "10.0.0.1", .port = port},
            .peers = {},
            .incarnation = 1};
}

} // namespace

TEST(MemberTable, CallersGetLiveInstancesOfTheirZone)
{
    member_table members({.self = "a", .zone = "z1"});
    timestamp now {};
    members.setListed(now, {entryOf("a", "z1", 1), entryOf("b", "z1", 2), entryOf("c", "z2", 3)});
    EXPECT_EQ(members.entry(now, "z1", true).size(), 2u);
    // One instance is too few for a zone: its loss would leave the callers without any.
    EXPECT_EQ(members.entry(now, "z2", true).size(), 3u);
    EXPECT_EQ(members.entry(now, "z1", false).size(), 2u);
}

TEST(MemberTable, AnInstanceThatLeavesOrFallsSilentIsNotNamed)
{
    member_table members({.self = "a", .zone = "z1"});
    timestamp now {};
    members.setListed(now, {entryOf("a", "z1", 1), entryOf("b", "z1", 2), entryOf("c", "z1", 3)});
    EXPECT_TRUE(members.noteReport(now, "b", 1, 1, true, 0));
    EXPECT_FALSE(members.isAlive(now, "b"));
    now += std::chrono::milliseconds(1100);
    EXPECT_FALSE(members.isAlive(now, "c"));
    EXPECT_EQ(members.entry(now, "z1", true).size(), 1u);
    EXPECT_TRUE(members.noteReport(now, "c", 1, 1, false, 0));
    EXPECT_TRUE(members.isAlive(now, "c"));
}

TEST(MemberTable, OlderReportsAreDropped)
{
    member_table members({.self = "a", .zone = "z1"});
    timestamp now {};
    members.setListed(now, {entryOf("a", "z1", 1), entryOf("b", "z1", 2)});
    EXPECT_TRUE(members.noteReport(now, "b", 2, 5, false, 3));
    EXPECT_FALSE(members.noteReport(now, "b", 2, 4, true, 0));
    EXPECT_FALSE(members.noteReport(now, "b", 1, 9, true, 0));
    EXPECT_FALSE(members.noteReport(now, "unlisted", 1, 1, false, 0));
    EXPECT_TRUE(members.holdsDuty(now, "b", 3));
    EXPECT_FALSE(members.holdsDuty(now + std::chrono::seconds(1), "b", 3));
    EXPECT_TRUE(members.heardDuty("b", 3));
}

TEST(MemberTable, RankCountsLiveInstancesBeforeThisOne)
{
    member_table members({.self = "c", .zone = "z1"});
    timestamp now {};
    members.setListed(now, {entryOf("a", "z1", 1), entryOf("b", "z1", 2), entryOf("c", "z1", 3)});
    EXPECT_EQ(members.rank(now), 2);
    now += std::chrono::seconds(2);
    members.noteReport(now, "b", 1, 1, false, 0);
    EXPECT_EQ(members.rank(now), 1);
}

} // namespace trefoil
