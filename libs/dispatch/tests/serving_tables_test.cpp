#include <dispatch/serving_tables.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(ServingTables, LongestMatchingPrefixOfTheHostIsChosen)
{
    serving_tables tables;
    tables.routes = {{.name = "short", .host = "shop.example", .pathPrefix = "/a/"},
                     {.name = "long", .host = "shop.example", .pathPrefix = "/a/b/"},
                     {.name = "other", .host = "depot.example", .pathPrefix = "/a/b/c/"}};
    EXPECT_EQ(tables.findRoute("SHOP.example:8080", "/a/b/c/d")->name, "long");
    EXPECT_EQ(tables.findRoute("shop.example", "/a/x")->name, "short");
    EXPECT_EQ(tables.findRoute("shop.example", "/a"), nullptr);
    EXPECT_EQ(tables.findRoute("shop.example", "/b/"), nullptr);
}

TEST(ServingTables, FindsTheTeamOfAKey)
{
    serving_tables tables;
    tables.teams["reef"] = {.name = "reef"};
    tables.teamOfKey = {{"k1", "reef"}, {"k2", "gone"}};
    EXPECT_EQ(tables.findTeam("k1")->name, "reef");
    EXPECT_EQ(tables.findTeam("k2"), nullptr);
    EXPECT_EQ(tables.findTeam("k3"), nullptr);
}

} // namespace trefoil
