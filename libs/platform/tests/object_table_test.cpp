#include <platform/call_budget.h>
#include <platform/object_table.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(ObjectTable, ConditionalUpdateRejectsAnOldVersion)
{
    object_table table;
    const result<std::uint64_t> first = table.put("a", "1", 0);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(table.put("a", "2", 0).error().code, platform_errors::conflict);
    const result<std::uint64_t> second = table.put("a", "2", *first);
    ASSERT_TRUE(second.has_value());
    EXPECT_GT(*second, *first);
    EXPECT_EQ(table.put("a", "3", *first).error().code, platform_errors::conflict);
    EXPECT_EQ(table.get("a")->value, "2");
}

TEST(ObjectTable, ChangesSinceReturnsLaterChangesUnderThePrefix)
{
    object_table table;
    const std::uint64_t first = *table.put("x/1", "1", 0);
    table.put("x/2", "2", 0);
    table.put("y/1", "3", 0);
    const object_changes changes = table.changesSince("x/", first);
    ASSERT_EQ(changes.changed.size(), 1u);
    EXPECT_EQ(changes.changed[0].name, "x/2");
}

TEST(CallBudget, RefusesCallsAboveTheRate)
{
    call_budget budget(10);
    const timestamp start {std::chrono::seconds(100)};
    int allowed = 0;
    for (int i = 0; i < 100; ++i)
        allowed += budget.take(start) ? 1 : 0;
    EXPECT_EQ(allowed, 20);
    EXPECT_TRUE(budget.take(start + std::chrono::milliseconds(100)));
    EXPECT_EQ(budget.refused(), 80u);
}

} // namespace trefoil
