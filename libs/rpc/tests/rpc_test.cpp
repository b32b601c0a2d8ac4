#include <rpc/rpc.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Rpc, CarriesAMessageAndItsAnswer)
{
    rpc_server server([](const Json::Value &message) {
        Json::Value answer(Json::objectValue);
        answer["twice"] = message["number"].asInt() * 2;
        return answer;
    });
    const rpc_transport transport = [&](const std::string &request, std::string &response) {
        response = server.answer(request);
        return true;
    };
    Json::Value message(Json::objectValue);
    message["number"] = 21;
    Json::Value answer;
    std::string problem;
    ASSERT_TRUE(rpcCall(transport, message, answer, problem)) << problem;
    EXPECT_EQ(answer["twice"].asInt(), 42);
}

TEST(Rpc, SaysWhyNoAnswerCame)
{
    const rpc_transport silent = [](const std::string &, std::string &) { return false; };
    const rpc_transport garbled = [](const std::string &, std::string &response) {
        response = "<html>";
        return true;
    };
    Json::Value answer;
    std::string problem;
    EXPECT_FALSE(rpcCall(silent, Json::Value(Json::objectValue), answer, problem));
    EXPECT_NE(problem.find("did not answer"), std::string::npos);
    EXPECT_FALSE(rpcCall(garbled, Json::Value(Json::objectValue), answer, problem));
}

TEST(Rpc, MalformedRequestGetsAnErrorNotACrash)
{
    rpc_server server([](const Json::Value &) { return Json::Value(Json::objectValue); });
    EXPECT_NE(server.answer("{").find("\"error\""), std::string::npos);
    EXPECT_NE(server.answer("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"deliver\"}").find("error"),
              std::string::npos);
}

} // namespace trefoil
