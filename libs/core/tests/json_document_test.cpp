#include <core/json_document.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(JsonDocument, LocatesEachValue)
{
    findings found;
    const std::string text =
        "{\"a\": 1,\r\n\t\"list\": [true,\n  {\"b\": \"x\\/\\ud83d\\ude00\"}]}";
    const std::optional<json_document> document = json_document::parse(text, "f", found);
    ASSERT_TRUE(document) << toString(found);
    const Json::Value &list = document->root()["list"];
    EXPECT_EQ(toString(document->findingAt(document->root()["a"], "a", "m")), "f:1:7: a: m");
    EXPECT_EQ(toString(document->findingAt(list, "list", "m")), "f:2:10: list: m");
    EXPECT_EQ(toString(document->findingAt(list[0], "list[0]", "m")), "f:2:11: list[0]: m");
    EXPECT_EQ(toString(document->findingAt(list[1], "list[1]", "m")), "f:3:3: list[1]: m");
    EXPECT_EQ(toString(document->findingAt(list[1]["b"], "list[1].b", "m")), "f:3:9: list[1].b: m");
}

// Guards against a check that stops at the first error or accepts what the instances refuse.
TEST(JsonDocument, ReportsSyntaxErrorsWithTheirLines)
{
    struct bad_text
    {
        const char *text;
        int line;
    };
    for (const bad_text &each :
         {bad_text {"", 1}, bad_text {"{\"a\":1\n,}", 2}, bad_text {"{\n\"a\":1,\n\"a\":2}", 3},
          bad_text {"{\na: 1}", 2}, bad_text {"{\"a\":\n01x}", 2}, bad_text {"[1\n2]", 2}}) {
        findings found;
        EXPECT_FALSE(json_document::parse(each.text, "f", found)) << each.text;
        ASSERT_FALSE(found.empty()) << each.text;
        EXPECT_EQ(found[0].line, each.line) << each.text;
    }
    findings found;
    EXPECT_FALSE(json_document::parse(std::string(5000, '['), "f", found));
    EXPECT_EQ(found.size(), 1u);
}

// Guards against a message of the parser that quotes a secret from the document.
TEST(JsonDocument, ErrorsQuoteNoValues)
{
    for (const char *text : {"{\"api_keys\":[-4711-4711-4711]}", "{\"4711\":1,\"4711\":2}",
                             "{\"api_keys\":[4711k]}", "{\"api_keys\":[\"4711\\q\"]}"}) {
        findings found;
        EXPECT_FALSE(json_document::parse(text, "f", found)) << text;
        EXPECT_FALSE(found.empty()) << text;
        EXPECT_EQ(toString(found).find("4711"), std::string::npos) << toString(found);
    }
}

} // namespace trefoil
