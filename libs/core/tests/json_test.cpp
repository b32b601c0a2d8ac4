#include <core/json.h>

#include <array>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr std::array<std::string_view, 1> lists {"items"};

std::string nested(int depth)
{
    return std::string(static_cast<std::size_t>(depth), '[')
        + std::string(static_cast<std::size_t>(depth), ']');
}

} // namespace

// One element that the parser rejects made the whole list unreadable.
TEST(ParseJsonLists, ElementsThatCannotBeParsedAreLeftOut)
{
    const std::string deep = nested(100000);
    const std::string text =
        R"({"before": {"items": [1]}, "items": [{"a": 1, "t": "]},{\""}, 1e999,)" + deep
        + R"(, {"b": 2}], "after": [3]})";
    std::vector<std::string> skipped;
    const result<Json::Value> value = parseJsonLists(text, "a list", lists, skipped);
    ASSERT_TRUE(value);
    ASSERT_EQ((*value)["items"].size(), 2U);
    EXPECT_EQ((*value)["items"][0]["t"].asString(), "]},{\"");
    EXPECT_EQ((*value)["items"][1]["b"].asInt(), 2);
    EXPECT_EQ((*value)["before"]["items"][0].asInt(), 1);
    EXPECT_EQ((*value)["after"][0].asInt(), 3);
    ASSERT_EQ(skipped.size(), 2U);
    EXPECT_EQ(skipped[0], "1e999");
    EXPECT_EQ(skipped[1], deep);
}

TEST(ParseJsonLists, TextThatIsNoObjectIsAnError)
{
    for (const char *text : {"", "{", "[1e999]", R"({"items": [1e999)", R"({"items": [1e999]} x)",
                             R"({"items": [1e999], "a": 1e999})", R"({"items")", R"({"items" 1})",
                             R"({"items": ["\)", R"({"items": [1e999,,]}})"}) {
        std::vector<std::string> skipped;
        EXPECT_FALSE(parseJsonLists(text, "a list", lists, skipped)) << text;
    }
}

} // namespace trefoil
