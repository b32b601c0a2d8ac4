#include <rpc/rpc.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Rpc, DeliversAMessageAndItsAnswer)
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
    std::string errorMessage;
    ASSERT_TRUE(rpcCall(transport, message, answer, errorMessage)) << errorMessage;
    EXPECT_EQ(answer["twice"].asInt(), 42);
}

TEST(Rpc, ReportsWhyACallFailed)
{
    const rpc_transport silent = [](const std::string &, std::string &) { return false; };
    const rpc_transport garbled = [](const std::string &, std::string &response) {
        response = "<html>";
        return true;
    };
    Json::Value answer;
    std::string errorMessage;
    EXPECT_FALSE(rpcCall(silent, Json::Value(Json::objectValue), answer, errorMessage));
    EXPECT_NE(errorMessage.find("did not answer"), std::string::npos);
    EXPECT_FALSE(rpcCall(garbled, Json::Value(Json::objectValue), answer, errorMessage));
}

TEST(Rpc, MalformedRequestGetsAJsonRpcError)
{
    rpc_server server([](const Json::Value &) { return Json::Value(Json::objectValue); });
    EXPECT_NE(server.answer("{").find("\"error\""), std::string::npos);
    EXPECT_NE(server.answer("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"deliver\"}").find("error"),
              std::string::npos);
}

} // namespace trefoil
