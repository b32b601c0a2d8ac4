#include <dispatch/request_terms.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

std::shared_ptr<serving_tables> makeTables()
{
    std::shared_ptr<serving_tables> tables = std::make_shared<serving_tables>();
    tables->services["llm"] = {.name = "llm", .engine = engine_traits {}};
    tables->services["app"] = {.name = "app"};
    for (const char *team : {"reef", "dune"})
        tables->teams[team] = {.name = team};
    tables->assignCacheGroups();
    return tables;
}

admitted_terms admit(const std::shared_ptr<const serving_tables> &tables, const char *team,
                     const char *service = "llm")
{
    const auto found = tables->teams.find(team);
    return {.tables = tables,
            .team = found == tables->teams.end() ? nullptr : &found->second,
            .service = service};
}

} // namespace

TEST(RequestTerms, RulesAreInTheOrderOfTheSettings)
{
    const std::span<const request_setting_rule> rules = requestSettingRules();
    for (std::size_t i = 0; i < rules.size(); ++i)
        EXPECT_EQ(static_cast<std::size_t>(rules[i].setting), i);
    EXPECT_EQ(rules.size(), static_cast<std::size_t>(request_setting::EvacuatedZones) + 1);
}

TEST(RequestTerms, AttemptUsesTheCacheGroupInForce)
{
    const std::shared_ptr<serving_tables> before = makeTables();
    const std::shared_ptr<serving_tables> after = makeTables();
    after->teams["reef"].isIsolated = true;
    after->assignCacheGroups();
    EXPECT_EQ(attemptTerms(admit(before, "reef"), *after, true).cacheGroup, "/reef");
    EXPECT_EQ(attemptTerms(admit(before, "dune"), *after, true).cacheGroup,
              after->sharedCacheGroup);
    EXPECT_EQ(attemptTerms(admit(before, ""), *after, true).cacheGroup, after->sharedCacheGroup);
    EXPECT_EQ(attemptTerms(admit(after, "reef"), *before, true).cacheGroup, "");
}

TEST(RequestTerms, RequestOfARemovedTeamSharesWithItsTeamOnly)
{
    const std::shared_ptr<serving_tables> before = makeTables();
    const std::shared_ptr<serving_tables> after = makeTables();
    after->teams.erase("reef");
    EXPECT_EQ(attemptTerms(admit(before, "reef"), *after, true).cacheGroup, "/reef");
}

TEST(RequestTerms, AttemptWithoutAConfirmedConfigurationSharesWithItsTeamOnly)
{
    const std::shared_ptr<serving_tables> tables = makeTables();
    EXPECT_EQ(attemptTerms(admit(tables, "reef"), *tables, false).cacheGroup, "/reef");
    EXPECT_NE(attemptTerms(admit(tables, ""), *tables, false).cacheGroup, tables->sharedCacheGroup);
}

TEST(RequestTerms, ServiceWithoutEnginesHasNoCacheGroup)
{
    const std::shared_ptr<serving_tables> tables = makeTables();
    EXPECT_EQ(attemptTerms(admit(tables, "reef", "app"), *tables, false), attempt_terms {});
    EXPECT_EQ(attemptTerms(admit(tables, "reef", "removed"), *tables, true), attempt_terms {});
}

} // namespace trefoil
