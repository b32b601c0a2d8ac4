#include <core/json_difference.h>

#include <core/json.h>
#include <gtest/gtest.h>

namespace trefoil {

namespace {

std::string differences(const char *before, const char *after)
{
    constexpr std::string_view names[] = {"name", "service"};
    return toString(compareJson(*parseJson(before, ""), *parseJson(after, ""), names));
}

} // namespace

TEST(JsonDifference, ListsAddedRemovedAndChangedItems)
{
    EXPECT_EQ(differences(R"({"a":1,"b":{"c":true},"gone":[1]})", R"({"a":2,"b":{},"new":"x"})"),
              "changed  a: 1 -> 2\n"
              "removed  b.c: true\n"
              "removed  gone: [1]\n"
              "added    new: \"x\"\n");
    EXPECT_EQ(differences("[1]", "{}"), "changed  (document): [1] -> {}\n");
    EXPECT_EQ(differences(R"({"a":[1,2]})", R"({"a":[2,1]})"), "changed  a: [1,2] -> [2,1]\n");
}

// Guards against an inserted entry that shows as a change of all entries behind it.
TEST(JsonDifference, ComparesNamedElementsByName)
{
    EXPECT_EQ(differences(R"({"l":[{"name":"a","v":1},{"name":"b","v":2}]})",
                          R"({"l":[{"name":"c"},{"name":"b","v":3},{"name":"a","v":1}]})"),
              "changed  l[b].v: 2 -> 3\n"
              "added    l[c]: {\"name\":\"c\"}\n");
    EXPECT_EQ(differences(R"({"l":[{"service":"a","weight":1}]})",
                          R"({"l":[{"service":"a","weight":2}]})"),
              "changed  l[a].weight: 1 -> 2\n");
    EXPECT_EQ(differences(R"({"l":[]})", R"({"l":[{"name":"a b"}]})"),
              "added    l[\"a b\"]: {\"name\":\"a b\"}\n");
}

TEST(JsonDifference, ComparesElementsWithoutUniqueNamesByPosition)
{
    EXPECT_EQ(differences(R"({"l":[{"name":"a","v":1},{"name":"a","v":2}]})",
                          R"({"l":[{"name":"a","v":1},{"name":"a","v":3},{"v":1}]})"),
              "changed  l[1].v: 2 -> 3\n"
              "added    l[2]: {\"v\":1}\n");
}

// Guards against secrets in the output, also inside items that were added, removed or changed as a
// whole.
TEST(JsonDifference, ShowsNoSecrets)
{
    const std::string text =
        differences(R"({"t":[{"name":"a","api_keys":["s-1","s-2"]},{"name":"b","api_keys":["s-3"]},
                             {"name":"d","credential":"s-4"},{"name":"e","credential":"s-4"}],
                        "peer_secret":"s-5","mixed":[1,{"Password":"s-6"}],"key":"s-7"})",
                    R"({"t":[{"name":"a","api_keys":["s-2","s-8","s-9"]},
                             {"name":"c","api_keys":{"s-10":1}},{"name":"d","credential":"s-11"},
                             {"name":"e"}],
                        "peer_secret":["s-5"],"mixed":[2,{"Password":"s-6"}],"key":"s-7"})");
    EXPECT_EQ(text.find("s-"), std::string::npos) << text;
    EXPECT_EQ(text,
              "changed  mixed: [1,{\"Password\":\"(secret)\"}] -> [2,{\"Password\":\"(secret)\"}]\n"
              "changed  peer_secret: \"(secret)\" -> \"(1 secret)\"\n"
              "changed  t[a].api_keys: \"(2 secrets, 1 withdrawn)\" -> \"(3 secrets, 2 new)\"\n"
              "removed  t[b]: {\"api_keys\":\"(1 secret)\",\"name\":\"b\"}\n"
              "added    t[c]: {\"api_keys\":\"(1 secret)\",\"name\":\"c\"}\n"
              "changed  t[d].credential: \"(secret)\" -> \"(secret)\"\n"
              "removed  t[e].credential: \"(secret)\"\n");
    EXPECT_FALSE(isSecretField("kv_capacity_tokens"));
    EXPECT_FALSE(isSecretField("plain_tokens"));
    EXPECT_FALSE(isSecretField("name"));
}

} // namespace trefoil
