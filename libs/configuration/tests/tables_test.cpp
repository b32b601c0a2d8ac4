#include <configuration/tables.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Tables, ReportsEveryFindingWithItsLocation)
{
    const std::string text = "teams:\n"
                             "  - {name: reef, rate: 0, burst: 10}\n"
                             "  - {name: reef, rate: 5, burst: 10}\n"
                             "routes:\n"
                             "  - name: terms\n"
                             "    model: terms\n"
                             "    modle: terms\n"
                             "    pool: engines\n"
                             "    teams: [reef, dune]\n"
                             "  - {name: open, path: ledger, pool: p, open: yes}\n";
    const tl::expected<route_table, findings> read = readRoutes(text, "routes.yaml");
    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(
        toString(read.error()),
        "routes.yaml:2:24: field \"teams[0].rate\" must lie between 1 and 100000000, not 0\n"
        "routes.yaml:3:12: teams[1].name: team \"reef\" stands twice\n"
        "routes.yaml:7:5: unknown field \"routes[0].modle\"\n"
        "routes.yaml:9:12: routes[0].teams: route \"terms\": team \"dune\" does not exist\n"
        "routes.yaml:10:12: routes[1].name: route \"open\" needs \"teams\" or \"open: true\"\n"
        "routes.yaml:10:24: routes[1].path: route \"open\": path \"ledger\" must start with / and "
        "name "
        "something\n"
        "routes.yaml:10:47: field \"routes[1].open\" must be true or false, not \"yes\"\n");
}

TEST(Tables, ReportsADuplicateField)
{
    const tl::expected<pool_table, findings> read =
        readPools("pools:\n  - name: a\n    name: b\n    servers: [{name: s, zone: a, address: "
                  "'127.0.0.1:80'}]\n",
                  "pools.yaml");
    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(toString(read.error()),
              "pools.yaml:3:5: field \"pools[0].name\" stands twice, first on line 2\n");
}

TEST(Tables, ReportsARouteToAMissingPool)
{
    const route_table routes {.routes = {{.name = "r", .model = "m", .pool = "nowhere"}}};
    const findings found = checkPoolReferences(routes, {}, "routes.yaml");
    ASSERT_EQ(found.size(), 1u);
    EXPECT_EQ(found[0].message, "route \"r\": pool \"nowhere\" does not exist");
}

TEST(Tables, MatchesTheLongestPathInWholeSegments)
{
    const route_table table {
        .routes = {{.name = "a", .path = "/ledger"}, {.name = "b", .path = "/ledger/loans"}}};
    EXPECT_EQ(table.findByPath("/ledger/loans/7")->name, "b");
    EXPECT_EQ(table.findByPath("/ledger?x=1")->name, "a");
    EXPECT_EQ(table.findByPath("/ledgers"), nullptr);
}

} // namespace trefoil
