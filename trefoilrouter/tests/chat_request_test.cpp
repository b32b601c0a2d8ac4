#include "chat_request.h"

#include <gtest/gtest.h>

namespace trefoil {

namespace {

result<chat_request> read(std::string &body)
{
    body.reserve(body.size() + requestPadding);
    return readChatRequest(body);
}

std::string concatenated(const body_segments &body)
{
    std::string text;
    for (const std::string_view segment : body.segments)
        text += segment;
    return text;
}

} // namespace

TEST(ChatRequest, ParsesFieldsUsedForRouting)
{
    std::string body = R"({"model":"terms","stream":true,"max_tokens":7,"messages":[)"
                       R"({"role":"system","content":"long terms"},)"
                       R"({"role":"user","content":[{"type":"text","text":"a question"}]}]})";
    const result<chat_request> request = read(body);
    ASSERT_TRUE(request.has_value()) << request.error().message;
    EXPECT_EQ(request->model, "terms");
    EXPECT_TRUE(request->stream);
    EXPECT_EQ(request->maxTokens, 7);
    EXPECT_EQ(request->prompt,
              (std::vector<std::string_view> {"\"system\"", "\"long terms\"", "\"user\"",
                                              "\"a question\""}));
}

TEST(ChatRequest, RejectsInvalidBodies)
{
    std::string noModel = R"({"messages":[{"role":"user","content":"x"}]})";
    EXPECT_EQ(read(noModel).error().message, "field \"model\" is missing");
    std::string noPrompt = R"({"model":"m"})";
    EXPECT_EQ(read(noPrompt).error().code, "bad-request");
    std::string truncated = R"({"model":"m","messages":[)";
    EXPECT_EQ(read(truncated).error().code, "bad-json");
    std::string notObject = "hello";
    EXPECT_EQ(read(notObject).error().code, "bad-json");
    std::string empty;
    EXPECT_EQ(read(empty).error().code, "bad-json");
    std::string trailing = R"({"model":"m","prompt":"x"} {"model":"n"})";
    EXPECT_EQ(read(trailing).error().code, "bad-json");
}

TEST(ChatRequest, ReplacesModelAndInsertsMaxTokens)
{
    std::string body = R"({ "prompt" : "p", "model" : "terms" , "stream":false})";
    const result<chat_request> request = read(body);
    ASSERT_TRUE(request.has_value());
    body_segments backendBody;
    makeBackendBody(body, *request, "terms-7b", 50, backendBody);
    EXPECT_EQ(concatenated(backendBody),
              R"({"max_tokens":50, "prompt" : "p", "model" : "terms-7b" , "stream":false})");
    makeBackendBody(body, *request, "", 50, backendBody);
    EXPECT_EQ(concatenated(backendBody),
              R"({"max_tokens":50, "prompt" : "p", "model" : "terms" , "stream":false})");
}

TEST(ChatRequest, PrefixChainDependsOnTeam)
{
    std::string body = R"({"model":"m","prompt":")" + std::string(40000, 'x') + R"("})";
    const result<chat_request> request = read(body);
    ASSERT_TRUE(request.has_value());
    EXPECT_EQ(buildPrefixChain(*request, "reef").blocks.size(), 2u);
    EXPECT_NE(buildPrefixChain(*request, "reef").blocks, buildPrefixChain(*request, "dune").blocks);
}

} // namespace trefoil
