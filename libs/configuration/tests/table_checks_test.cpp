#include <configuration/table_checks.h>

#include <array>

#include <core/json.h>
#include <gtest/gtest.h>

namespace trefoil {

namespace {

std::string routeFindings(std::string_view text)
{
    findings found;
    const route_table routes = readRoutesPartially(text, "r", found);
    findings contradictions = checkRoutes(routes, "r");
    locateFields(contradictions, text);
    found.insert(found.end(), contradictions.begin(), contradictions.end());
    sortByLocation(found);
    return toString(found);
}

std::string poolFindings(std::string_view text)
{
    findings found;
    const pool_table pools = readPoolsPartially(text, "p", found);
    findings contradictions = checkPools(pools, "p");
    locateFields(contradictions, text);
    found.insert(found.end(), contradictions.begin(), contradictions.end());
    sortByLocation(found);
    return toString(found);
}

struct bad_table
{
    const char *text;
    const char *expected;
};

} // namespace

// Guards against a contradiction that instances accept and operators notice by refused requests.
TEST(TableChecks, RoutesTableFindings)
{
    const std::array<bad_table, 6> rows {{
        {"teams:\n  - {name: a, rate: 5, burst: 4095}\nroutes:\n"
         "  - {name: r, model: m, pool: p, teams: [a]}\n",
         "r:2:31: teams[0].burst: team \"a\": a burst of 4095 is below the 4096 answer tokens that "
         "a request of route \"r\" reserves\n"},
        {"teams:\n  - {name: a, rate: 5, burst: 5000}\nroutes:\n"
         "  - name: r\n    path: /r/\n    pool: p\n    teams: [a]\n",
         "r:5:11: routes[0].path: route \"r\" can't match a path below \"/r/\", because of the "
         "slash "
         "at its end\n"},
        {"teams:\n  - {name: a, rate: 5, burst: 5000}\nroutes:\n"
         "  - {name: r, path: '/r x', pool: p, teams: [a, a]}\n",
         "r:4:21: routes[0].path: route \"r\" can never match: no request's path holds a space or "
         "#\n"
         "r:4:45: routes[0].teams: route \"r\" names team \"a\" twice\n"},
        {"teams:\n  - {name: a, rate: 5, burst: 5000}\nroutes:\n"
         "  - {name: r, model: m, pool: p, open: true}\n",
         "r:2:12: teams[0].name: team \"a\" may use no route\n"},
        // A contradiction is found beside an error of another field.
        {"teams:\n  - {name: a, rate: x, burst: 1}\nroutes:\n"
         "  - {name: r, model: m, pool: p, teams: [a], max_answer_tokens: 2}\n"
         "  - {name: s, model: m, pool: p, teams: [a], max_answer_tokens: 1}\n",
         "r:2:21: field \"teams[0].rate\" must be a whole number, not \"x\"\n"
         "r:2:31: teams[0].burst: team \"a\": a burst of 1 is below the 2 answer tokens that a "
         "request of route \"r\" reserves\n"
         "r:5:22: routes[1].model: route \"s\": \"m\" belongs to another route\n"},
        {"teams:\n  - {name: a\nroutes: []", "r:3:7: not valid YAML: end of map flow not found\n"},
    }};
    for (const bad_table &each : rows)
        EXPECT_EQ(routeFindings(each.text), each.expected) << each.text;
}

TEST(TableChecks, PoolsTableFindings)
{
    const std::array<bad_table, 3> rows {{
        {"pools:\n  - name: a\n    servers:\n"
         "      - {name: s, zone: z, address: '127.0.0.1:80', leaving: true}\n",
         "p:4:7: pools[0].servers: pool \"a\": all backend servers are leaving\n"},
        {"pools:\n  - name: a\n    kind: service\n    model: m\n    servers:\n"
         "      - {name: s, zone: z, address: '127.0.0.1:80'}\n",
         "p:4:12: pools[0].model: pool \"a\" holds plain services, which have no model\n"},
        {"pools:\n  - name: a\n",
         "p:2:5: field \"pools[0].servers\" is missing\n"
         "p:2:5: pools[0].servers: pool \"a\" has no backend server\n"},
    }};
    for (const bad_table &each : rows)
        EXPECT_EQ(poolFindings(each.text), each.expected) << each.text;
}

TEST(TableChecks, FindingsBetweenTablesHaveLines)
{
    const std::string routesText = "routes:\n  - {name: r, model: m, pool: x, open: true}\n"
                                   "  - {name: s, model: n, pool: b, open: true}\n";
    const std::string poolsText =
        "pools:\n  - {name: a, servers: [{name: s, zone: z, address: '127.0.0.1:80'}]}\n"
        "  - {name: b, kind: service, servers: [{name: t, zone: z, address: '127.0.0.1:81'}]}\n";
    findings found;
    const route_table routes = readRoutesPartially(routesText, "r", found);
    const pool_table pools = readPoolsPartially(poolsText, "p", found);
    EXPECT_TRUE(found.empty()) << toString(found);
    findings dangling = checkPoolReferences(routes, pools, "r");
    locateFields(dangling, routesText);
    EXPECT_EQ(
        toString(dangling),
        "r:2:31: routes[0].pool: route \"r\": pool \"x\" does not exist\n"
        "r:3:31: routes[1].pool: route \"s\": pool \"b\" holds plain services and can't answer "
        "for a model\n");
    findings unused = checkUnusedPools(routes, pools, "p");
    locateFields(unused, poolsText);
    EXPECT_EQ(toString(unused), "p:2:12: pools[0].name: no route uses pool \"a\"\n");
}

TEST(TableChecks, TellsTheKindOfATable)
{
    EXPECT_EQ(tableKindOf("teams: []"), table_kind::Routes);
    EXPECT_EQ(tableKindOf("pools: []"), table_kind::Pools);
    EXPECT_FALSE(tableKindOf("name: x"));
    EXPECT_FALSE(tableKindOf("[pools]"));
    EXPECT_FALSE(tableKindOf("{"));
}

TEST(TableChecks, ConvertsYamlToJson)
{
    findings found;
    const std::optional<Json::Value> value =
        readYamlAsJson("a: [1, 2.5, '1', true, x, null]\nb: {c: 'true'}\n", "f", found);
    ASSERT_TRUE(value);
    EXPECT_EQ(writeJson(*value), R"({"a":[1,2.5,"1",true,"x",null],"b":{"c":"true"}})");
    EXPECT_FALSE(readYamlAsJson("{", "f", found));
    EXPECT_EQ(found.size(), 1u);
}

} // namespace trefoil
