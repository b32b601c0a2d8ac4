#include "chat_request.h"

#include <gtest/gtest.h>

namespace trefoil {

namespace {

result<chat_request> read(std::string &body)
{
    body.reserve(body.size() + requestPadding);
    return readChatRequest(body);
}

std::string joined(const body_pieces &pieces)
{
    std::string text;
    for (const std::string_view piece : pieces.pieces)
        text += piece;
    return text;
}

} // namespace

TEST(ChatRequest, ReadsWhatRoutingNeeds)
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

TEST(ChatRequest, NamesWhatIsWrong)
{
    std::string noModel = R"({"messages":[{"role":"user","content":"x"}]})";
    EXPECT_EQ(read(noModel).error().message, "field \"model\" is missing");
    std::string noPrompt = R"({"model":"m"})";
    EXPECT_EQ(read(noPrompt).error().code, "bad-request");
    std::string cut = R"({"model":"m","messages":[)";
    EXPECT_EQ(read(cut).error().code, "bad-json");
    std::string text = "hello";
    EXPECT_EQ(read(text).error().code, "bad-json");
    std::string empty;
    EXPECT_EQ(read(empty).error().code, "bad-json");
    std::string more = R"({"model":"m","prompt":"x"} {"model":"n"})";
    EXPECT_EQ(read(more).error().code, "bad-json");
}

TEST(ChatRequest, ReplacesTheModelAndSetsTheLimitWithoutJoining)
{
    std::string body = R"({ "prompt" : "p", "model" : "terms" , "stream":false})";
    const result<chat_request> request = read(body);
    ASSERT_TRUE(request.has_value());
    body_pieces pieces;
    makeBackendBody(body, *request, "terms-7b", 50, pieces);
    EXPECT_EQ(joined(pieces),
              R"({"max_tokens":50, "prompt" : "p", "model" : "terms-7b" , "stream":false})");
    makeBackendBody(body, *request, "", 50, pieces);
    EXPECT_EQ(joined(pieces),
              R"({"max_tokens":50, "prompt" : "p", "model" : "terms" , "stream":false})");
}

TEST(ChatRequest, ChainsDifferByTeam)
{
    std::string body = R"({"model":"m","prompt":")" + std::string(40000, 'x') + R"("})";
    const result<chat_request> request = read(body);
    ASSERT_TRUE(request.has_value());
    EXPECT_EQ(chainOf(*request, "reef").blocks.size(), 2u);
    EXPECT_NE(chainOf(*request, "reef").blocks, chainOf(*request, "dune").blocks);
}

} // namespace trefoil
