#include <dispatch/serving_tables.h>

#include <map>
#include <random>
#include <set>

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

// Other teams went on using KV cache that a team had made before it was isolated. Teams are
// isolated and released again in any order; one server keeps all that was ever stored.
TEST(ServingTables, NoTeamUsesCacheAcrossTheIsolationOfATeam)
{
    constexpr int teamCount = 4;
    constexpr int partCount = 3;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::minstd_rand random(seed);
        serving_tables tables;
        for (int i = 0; i < teamCount; ++i) {
            const std::string name = "team-" + std::to_string(i);
            tables.teams[name] = {.name = name};
        }
        std::map<std::string, std::set<std::string>> makersOf;
        int shared = 0;
        for (int change = 0; change < 40; ++change) {
            const std::string changed = "team-" + std::to_string(random() % teamCount);
            tables.teams[changed].isIsolated = !tables.teams[changed].isIsolated;
            tables.assignCacheGroups();
            for (int request = 0; request < 20; ++request) {
                const std::string name = "team-" + std::to_string(random() % teamCount);
                const served_team &team = tables.teams[name];
                std::set<std::string> &makers =
                    makersOf[team.cacheGroup + " " + std::to_string(random() % partCount)];
                for (const std::string &maker : makers) {
                    const bool isOther = maker != name;
                    shared += isOther ? 1 : 0;
                    EXPECT_FALSE(isOther && (team.isIsolated || tables.teams[maker].isIsolated))
                        << "seed " << seed << ": " << name << " used cache of " << maker;
                }
                makers.insert(name);
            }
        }
        EXPECT_GT(shared, 0);
    }
}

TEST(ServingTables, TeamsShareCacheWhileNoneIsIsolated)
{
    serving_tables tables;
    tables.teams["reef"] = {.name = "reef"};
    tables.assignCacheGroups();
    EXPECT_EQ(tables.sharedCacheGroup, "");
    EXPECT_EQ(tables.teams["reef"].cacheGroup, "");
}

} // namespace trefoil
